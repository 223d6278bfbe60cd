package apierror

import "time"

// The codes, by the component that returns them.
const (
	Malformed         Code = "malformed"
	DocumentFaulty    Code = "document_faulty"
	Oversize          Code = "oversize"
	UnknownPath       Code = "unknown_path"
	WrongMethod       Code = "wrong_method"
	UnknownSpace      Code = "unknown_space"
	UnknownTopic      Code = "unknown_topic"
	TokenMissing      Code = "token_missing"
	TokenForeign      Code = "token_foreign"
	TokenFenced       Code = "token_fenced"
	CallPassed        Code = "call_passed"
	CallAltered       Code = "call_altered"
	CallForgotten     Code = "call_forgotten"
	KeyUnknown        Code = "key_unknown"
	WithdrawalOpen    Code = "withdrawal_open"
	CursorMalformed   Code = "cursor_malformed"
	CursorExpired     Code = "cursor_expired"
	SlowReader        Code = "slow_reader"
	OutcomeUnknown    Code = "outcome_unknown"
	Overloaded        Code = "overloaded"
	NoLease           Code = "unlicensed"
	ShuttingDown      Code = "leaving"
	NoPartitionLeader Code = "no_owner"

	ConfigurationInvalid  Code = "description_invalid"
	ConfigurationConflict Code = "description_raced"
	ConfigurationMissing  Code = "description_none"

	StaleEpoch         Code = "stale_epoch"
	StaleVoterSet      Code = "stale_roster"
	StaleBase          Code = "stale_base"
	NotKeyLeader       Code = "not_holder"
	NoMajority         Code = "no_majority"
	NotBootstrapped    Code = "not_founded"
	WrongDisk          Code = "wrong_disk"
	NoDisk             Code = "no_disk"
	LogMismatch        Code = "line_mismatch"
	OutOfRange         Code = "out_of_range"
	NotPartitionLeader Code = "not_owner"
	NotReady           Code = "not_ready"
	DiskFailed         Code = "disk_failed"
	DiskFull           Code = "disk_full"
	DiskDamaged        Code = "disk_damaged"
	DiskForeign        Code = "disk_foreign"
	DiskNewer          Code = "disk_newer"
	WireNewer          Code = "wire_newer"
	Unreachable        Code = "unreachable"
	SettingsInvalid    Code = "options_invalid"
	UnknownNode        Code = "unknown_node"
	UnknownCall        Code = "unknown_call"
	AlreadyEmpty       Code = "already_empty"
	DecommissionUnsafe Code = "drain_unsafe"
	RecordingInvalid   Code = "recording_bad"
	ReplayDiffers      Code = "replay_differs"
	Usage              Code = "usage"
	Stopped            Code = "stopped"
	ResourceInUse      Code = "still_held"
	Internal           Code = "internal"
)

// spec is what a code means to a client: the HTTP status, the retry time, 0 for none, and the
// advice.
type spec struct {
	status int
	retry  time.Duration
	advice string
}

var catalogue = map[Code]spec{
	Malformed:      {400, 0, "Send one well-formed JSON document with the fields of this call."},
	DocumentFaulty: {400, 0, "Mend what is listed; the callers' page names the fields and parameters of this call."},
	Oversize:       {413, 0, "Send a smaller body; the limit is named in the sentence."},
	UnknownPath:    {404, 0, "Use one of the paths on the callers' page."},
	WrongMethod:    {405, 0, "Use the method that the callers' page names for this path."},
	UnknownSpace:   {404, 0, "Name a space of the current description."},
	UnknownTopic:   {404, 0, "Name a topic that the space of the current description lists."},
	TokenMissing:   {401, 0, "Attach first and send the token as a bearer token."},
	TokenForeign:   {401, 0, "Attach again; this fleet did not give out this token."},
	TokenFenced: {
		409, 0,
		"A newer attachment under this name took over; attach again only if this client is the one in use.",
	},
	CallPassed: {
		409, 0,
		"A higher number of this visitor was taken on this topic; this one never will be. Send the message under a number above the one named as current.",
	},
	CallAltered: {409, 0, "This number was taken with another body; use the next number for a new message."},
	CallForgotten: {
		409, 0,
		"This number may have been taken long ago, and its answer is no longer kept; go on with a number above the one named as current.",
	},
	KeyUnknown: {
		404, 0,
		"Nothing is held under this key: check topic and key; to withdraw what may still come, name its sender and number.",
	},
	WithdrawalOpen: {
		503, 500 * time.Millisecond,
		"The withdrawal stands and nothing new is shown; the named nodes have not said that they forgot. Send the same number again to learn when they have.",
	},
	CursorMalformed: {400, 0, "Send a cursor exactly as a stream line gave it, or none."},
	CursorExpired:   {410, 0, "The cursor is older than the keeping time; start without a cursor."},
	SlowReader:      {409, 0, "Read faster, or resume from the last cursor with fewer topics."},
	OutcomeUnknown: {
		504, 200 * time.Millisecond,
		"The message may or may not have been taken: send the same number and body again to learn which.",
	},
	Overloaded: {503, 500 * time.Millisecond, "Come back after the time given, with jitter."},
	NoLease: {
		503, 300 * time.Millisecond, "This node can't confirm the current description; use another node.",
	},
	ShuttingDown: {503, 100 * time.Millisecond, "This node is stopping; use another node."},
	NoPartitionLeader: {
		503, 300 * time.Millisecond,
		"Nobody decides for this topic at the moment; come back after the time given.",
	},

	ConfigurationInvalid:  {422, 0, "Mend every fault listed and put the whole description again."},
	ConfigurationConflict: {409, 0, "Read the current description, rebuild on its sequence and put again."},
	ConfigurationMissing:  {404, 0, "No description was put yet; put one on base 0."},

	StaleEpoch:    {409, 0, "A higher epoch decides now."},
	StaleVoterSet: {409, 0, "Another roster of voters is in force."},
	StaleBase:     {409, 0, "The value changed since it was read; read again."},
	NotKeyLeader:  {503, 100 * time.Millisecond, "Another control node holds this key."},
	NoMajority: {
		503, 300 * time.Millisecond,
		"No majority of the control disks answered; the outcome is unknown until read back.",
	},
	NotBootstrapped: {
		503, 300 * time.Millisecond,
		"The fleet is not founded yet: all founding control disks must be up once.",
	},
	WrongDisk:          {409, 0, "The disk is not the one that the record names."},
	NoDisk:             {503, 0, "This node has no disk for that."},
	LogMismatch:        {409, 0, "The lines differ at that place."},
	OutOfRange:         {410, 0, "That offset is not held."},
	NotPartitionLeader: {503, 100 * time.Millisecond, "Another store decides for this partition."},
	NotReady:           {503, 200 * time.Millisecond, "The owner is still taking over."},
	DiskFailed:         {503, 500 * time.Millisecond, "The disk failed; the node reopens it."},
	DiskFull:           {503, 1 * time.Second, "Free space on the disk; the node takes up again by itself."},
	DiskDamaged: {
		503, 0, "The disk's contents are damaged; the node sets them aside and is repaired by its fellows.",
	},
	DiskForeign: {
		409, 0,
		"The data folder belongs to another node or fleet; point the settings at this node's own folder.",
	},
	DiskNewer:       {409, 0, "The data folder was written by a newer build; run that build."},
	WireNewer:       {409, 0, "The fellow speaks a newer format; bring this node to the newer build."},
	Unreachable:     {503, 200 * time.Millisecond, "The other node did not answer."},
	SettingsInvalid: {400, 0, "Mend the named settings."},
	UnknownCall: {
		404, 0,
		"Check visitor, topic and number; each node remembers its newest 4096 calls that were turned away, until it restarts.",
	},
	UnknownNode:        {404, 0, "Name a node that the status page lists."},
	AlreadyEmpty:       {409, 0, "The machine holds nothing; it can be taken away."},
	DecommissionUnsafe: {409, 0, "Bring another machine with a disk up first."},
	RecordingInvalid:   {400, 0, "Use an undamaged recording of this format."},
	ReplayDiffers:      {409, 0, "The lines received differ from the recording; the report names the first."},
	Usage:              {400, 0, "See postjunction help."},
	ResourceInUse: {
		503, 500 * time.Millisecond,
		"Another process holds the port or folder; end it, or name another one in the settings.",
	},
	Stopped: {503, 0, "The part was stopped."},
	Internal: {
		503, 500 * time.Millisecond, "Come back after the time given; if it goes on, read the node's log.",
	},
}
