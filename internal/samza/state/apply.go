package state

import "postjunction/internal/partitionlog/log"

// appliers apply an entry by its type.
var appliers = map[string]func(*State, log.Entry){
	log.TypeMessage:    func(s *State, entry log.Entry) { s.accept(entry, 1) },
	log.TypeWithdrawal: (*State).applyWithdrawal,
	log.TypeReader:     (*State).applyReader,
	log.TypeAttach:     (*State).applyAttachment,
	log.TypeCursor:     (*State).applyCursor,
}

// Apply applies one committed entry. Applying it again changes nothing.
func (s *State) Apply(entry log.Entry) {
	if apply, ok := appliers[entry.Type]; ok {
		apply(s, entry)
	}
	s.Input = max(s.Input, entry.Offset)
}

func (s *State) applyWithdrawal(entry log.Entry) {
	s.accept(entry, 0)
	s.addTombstone(entry)
	withdrawal := DecodeBody[SenderWithdrawal](entry)
	if withdrawal.Sender == "" {
		return
	}
	key := Key(withdrawal.Sender, entry.Topic)
	if calls := s.Accepted[key]; withdrawal.UpTo > calls.Last {
		calls.Last = withdrawal.UpTo
		s.Accepted[key] = calls
		s.dirty[acceptedPrefix+key] = true
	}
}

func (s *State) applyReader(entry log.Entry) {
	reader := s.Readers[entry.Client]
	if entry.Offset <= reader.Offset {
		return
	}
	body := DecodeBody[ReaderEntry](entry)
	if reader.BootID != body.BootID {
		reader.ReplacedBootID = reader.BootID
	}
	reader.BootID, reader.Offset, reader.GivenUp = body.BootID, entry.Offset, body.GivenUp
	s.Readers[entry.Client] = reader
	if body.Removed {
		delete(s.Readers, entry.Client)
	}
	s.dirty[readerPrefix+entry.Client] = true
}

func (s *State) applyAttachment(entry log.Entry) {
	if entry.Generation > s.Attachments[entry.Client].Generation {
		s.Attachments[entry.Client] = Attachment{entry.Generation, string(entry.Body), entry.Offset}
		s.dirty[attachmentPrefix+entry.Client] = true
	}
}

func (s *State) applyCursor(entry log.Entry) {
	if entry.Offset > s.SavedCursors[entry.Client].Offset {
		s.SavedCursors[entry.Client] = SavedCursor{string(entry.Body), entry.Offset}
		s.dirty[cursorPrefix+entry.Client] = true
	}
}

// accept records an accepted call and adds messages to its topic's count.
func (s *State) accept(entry log.Entry, messages uint64) {
	key := Key(entry.Client, entry.Topic)
	calls := s.Accepted[key]
	if entry.CallSeq <= calls.Last {
		s.RestoreAnswer(entry)
		return
	}
	s.updateLastKeyed(entry)
	calls.Last, calls.Generation = entry.CallSeq, max(calls.Generation, entry.Generation)
	calls.addRecent(AcceptedCall{entry.CallSeq, entry.Offset, CallDigest(entry.Type, entry.Key, entry.Digest)})
	s.Accepted[key] = calls
	s.dirty[acceptedPrefix+key] = true
	if progress := s.Progress[entry.Topic]; entry.Offset > progress.Offset {
		s.Progress[entry.Topic] = Progress{entry.Offset, progress.Count + messages, progress.Trimmed}
		s.dirty[progressPrefix+entry.Topic] = true
	}
}

func (s *State) updateLastKeyed(entry log.Entry) {
	if entry.Type == log.TypeMessage && entry.Key != "" {
		key := Key(entry.Topic, entry.Key)
		s.LastKeyed[key] = max(s.LastKeyed[key], entry.Offset)
	}
}

func (s *State) pruneLastKeyed(entry log.Entry) {
	if key := Key(entry.Topic, entry.Key); s.LastKeyed[key] <= entry.Offset {
		delete(s.LastKeyed, key)
	}
}

func (s *State) addTombstone(entry log.Entry) {
	if key := Key(entry.Topic, entry.Key); entry.Offset > s.Tombstones[key].Offset {
		s.Tombstones[key] = Tombstone{entry.Offset, entry.Client, entry.CallSeq}
		s.dirty[tombstonePrefix+key] = true
	}
}
