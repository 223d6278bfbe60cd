package apierror

import "time"

// The kinds, by the part that raises them.
const (
	Malformed      Kind = "malformed"
	DocumentFaulty Kind = "document_faulty"
	Oversize       Kind = "oversize"
	UnknownPath    Kind = "unknown_path"
	WrongMethod    Kind = "wrong_method"
	UnknownSpace   Kind = "unknown_space"
	UnknownTopic   Kind = "unknown_topic"
	TokenMissing   Kind = "token_missing"
	TokenForeign   Kind = "token_foreign"
	TokenFenced    Kind = "token_fenced"
	CallPassed     Kind = "call_passed"
	CallAltered    Kind = "call_altered"
	CallForgotten  Kind = "call_forgotten"
	KeyUnknown     Kind = "key_unknown"
	WithdrawalOpen Kind = "withdrawal_open"
	CursorBad      Kind = "cursor_malformed"
	CursorExpired  Kind = "cursor_expired"
	SlowReader     Kind = "slow_reader"
	OutcomeUnknown Kind = "outcome_unknown"
	Overloaded     Kind = "overloaded"
	Unlicensed     Kind = "unlicensed"
	Leaving        Kind = "leaving"
	NoOwner        Kind = "no_owner"

	DescriptionBad   Kind = "description_invalid"
	DescriptionRaced Kind = "description_raced"
	DescriptionNone  Kind = "description_none"

	StaleEpoch    Kind = "stale_epoch"
	StaleRoster   Kind = "stale_roster"
	StaleBase     Kind = "stale_base"
	NotHolder     Kind = "not_holder"
	NoMajority    Kind = "no_majority"
	NotFounded    Kind = "not_founded"
	WrongDisk     Kind = "wrong_disk"
	NoDisk        Kind = "no_disk"
	Mismatch      Kind = "line_mismatch"
	OutOfRange    Kind = "out_of_range"
	NotOwner      Kind = "not_owner"
	NotReady      Kind = "not_ready"
	DiskFailed    Kind = "disk_failed"
	DiskFull      Kind = "disk_full"
	DiskDamaged   Kind = "disk_damaged"
	DiskForeign   Kind = "disk_foreign"
	DiskNewer     Kind = "disk_newer"
	WireNewer     Kind = "wire_newer"
	Unreachable   Kind = "unreachable"
	OptionsBad    Kind = "options_invalid"
	UnknownNode   Kind = "unknown_node"
	UnknownCall   Kind = "unknown_call"
	AlreadyEmpty  Kind = "already_empty"
	DrainUnsafe   Kind = "drain_unsafe"
	RecordingBad  Kind = "recording_bad"
	ReplayDiffers Kind = "replay_differs"
	Usage         Kind = "usage"
	Stopped       Kind = "stopped"
	Held          Kind = "still_held"
	Internal      Kind = "internal"
)

type spec struct {
	status int
	retry  time.Duration
	advice string
}

var catalogue = map[Kind]spec{
	Malformed:      {400, 0, "Send one well-formed JSON document with the fields of this call."},
	DocumentFaulty: {400, 0, "Mend what is listed; the callers' page names the fields and parameters of this call."},
	Oversize:       {413, 0, "Send a smaller body; the limit is named in the sentence."},
	UnknownPath:    {404, 0, "Use one of the paths on the callers' page."},
	WrongMethod:    {405, 0, "Use the method that the callers' page names for this path."},
	UnknownSpace:   {404, 0, "Name a space of the current description."},
	UnknownTopic:   {404, 0, "Name a topic that the space of the current description lists."},
	TokenMissing:   {401, 0, "Attach first and send the token as a bearer token."},
	TokenForeign:   {401, 0, "Attach again; this fleet did not give out this token."},
	TokenFenced:    {409, 0, "A newer attachment under this name took over; attach again only if this client is the one in use."},
	CallPassed:     {409, 0, "A higher number of this visitor was taken on this topic; this one never will be. Send the message under a number above the one named as current."},
	CallAltered:    {409, 0, "This number was taken with another body; use the next number for a new message."},
	CallForgotten:  {409, 0, "This number may have been taken long ago, and its answer is no longer kept; go on with a number above the one named as current."},
	KeyUnknown:     {404, 0, "Nothing is held under this key: check topic and key; to withdraw what may still come, name its sender and number."},
	WithdrawalOpen: {503, 500 * time.Millisecond, "The withdrawal stands and nothing new is shown; the named nodes have not said that they forgot. Send the same number again to learn when they have."},
	CursorBad:      {400, 0, "Send a cursor exactly as a stream line gave it, or none."},
	CursorExpired:  {410, 0, "The cursor is older than the keeping time; start without a cursor."},
	SlowReader:     {409, 0, "Read faster, or resume from the last cursor with fewer topics."},
	OutcomeUnknown: {504, 200 * time.Millisecond, "The message may or may not have been taken: send the same number and body again to learn which."},
	Overloaded:     {503, 500 * time.Millisecond, "Come back after the time given, with jitter."},
	Unlicensed:     {503, 300 * time.Millisecond, "This node can't confirm the current description; use another node."},
	Leaving:        {503, 100 * time.Millisecond, "This node is stopping; use another node."},
	NoOwner:        {503, 300 * time.Millisecond, "Nobody decides for this topic at the moment; come back after the time given."},

	DescriptionBad:   {422, 0, "Mend every fault listed and put the whole description again."},
	DescriptionRaced: {409, 0, "Read the current description, rebuild on its sequence and put again."},
	DescriptionNone:  {404, 0, "No description was put yet; put one on base 0."},

	StaleEpoch:    {409, 0, "A higher epoch decides now."},
	StaleRoster:   {409, 0, "Another roster of voters is in force."},
	StaleBase:     {409, 0, "The value changed since it was read; read again."},
	NotHolder:     {503, 100 * time.Millisecond, "Another control node holds this key."},
	NoMajority:    {503, 300 * time.Millisecond, "No majority of the control disks answered; the outcome is unknown until read back."},
	NotFounded:    {503, 300 * time.Millisecond, "The fleet is not founded yet: all founding control disks must be up once."},
	WrongDisk:     {409, 0, "The disk is not the one that the record names."},
	NoDisk:        {503, 0, "This node has no disk for that."},
	Mismatch:      {409, 0, "The lines differ at that place."},
	OutOfRange:    {410, 0, "That offset is not held."},
	NotOwner:      {503, 100 * time.Millisecond, "Another store decides for this partition."},
	NotReady:      {503, 200 * time.Millisecond, "The owner is still taking over."},
	DiskFailed:    {503, 500 * time.Millisecond, "The disk failed; the node reopens it."},
	DiskFull:      {503, 1 * time.Second, "Free space on the disk; the node takes up again by itself."},
	DiskDamaged:   {503, 0, "The disk's contents are damaged; the node sets them aside and is repaired by its fellows."},
	DiskForeign:   {409, 0, "The data folder belongs to another node or fleet; point the settings at this node's own folder."},
	DiskNewer:     {409, 0, "The data folder was written by a newer build; run that build."},
	WireNewer:     {409, 0, "The fellow speaks a newer format; bring this node to the newer build."},
	Unreachable:   {503, 200 * time.Millisecond, "The other node did not answer."},
	OptionsBad:    {400, 0, "Mend the named settings."},
	UnknownCall:   {404, 0, "Check visitor, topic and number; each node remembers its newest 4096 calls that were turned away, until it restarts."},
	UnknownNode:   {404, 0, "Name a node that the status page lists."},
	AlreadyEmpty:  {409, 0, "The machine holds nothing; it can be taken away."},
	DrainUnsafe:   {409, 0, "Bring another machine with a disk up first."},
	RecordingBad:  {400, 0, "Use an undamaged recording of this format."},
	ReplayDiffers: {409, 0, "The lines received differ from the recording; the report names the first."},
	Usage:         {400, 0, "See postjunction help."},
	Held:          {503, 500 * time.Millisecond, "Another process holds the port or folder; end it, or name another one in the settings."},
	Stopped:       {503, 0, "The part was stopped."},
	Internal:      {503, 500 * time.Millisecond, "Come back after the time given; if it goes on, read the node's log."},
}
