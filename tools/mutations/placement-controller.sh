# Mutants of internal/placement/controller.
mutant drain-fence internal/placement/controller/decommission.go 's/fenced = fenced \|\| c\.fenceRecords\(ctx\)/fenced = true/' $S 'FencesWhat'
mutant unleased-leader-replaced internal/placement/controller/leadership.go 's/case leader\.Isolated && view\.now/case false \&\& leader.Isolated \&\& view.now/' ./internal/placement/controller ReplaceLeader_Reasons
mutant slow-leader-replaced internal/placement/controller/leadership.go 's/case leader\.slow && leader\.slowFor/case false \&\& leader.slow \&\& leader.slowFor/' $S 'SlowStorageNodeLoses'
mutant load-counts internal/placement/controller/clusterview.go 's/return idleLoad \+ m\.Loads\[record\.Partition\]/_ = m\n\t\treturn idleLoad/' $S 'SkewedLoad'
mutant empty-machine-replaces-at-once internal/placement/controller/replicas.go 's/wait = min\(wait, c\.absenceWait\(view\)\)/_ = c.absenceWait(view)/' $S 'ReplacedStorageNode'
mutant restart-moves-nothing internal/placement/controller/replicas.go 's/wait = min\(wait, c\.Timing\.SessionTimeout\(\)\/2\)/wait = 0/' ./internal/placement/controller ReplacementWait_ByAvailableMachines
