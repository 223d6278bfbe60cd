# Mutants of internal/gossip.
mutant lean-stays-lean internal/gossip/gossip.go 's/if !g\.Disk \{\n\t\t\tn\.Records = nil\n\t\t\}/_ = g/' ./internal/gossip 'WithoutTheirHistory'
mutant never-back internal/gossip/gossip.go 's/d != nil && d.Sequence > b.desc.Sequence/d != nil && d.Sequence != b.desc.Sequence/' ./internal/gossip 'Back'
