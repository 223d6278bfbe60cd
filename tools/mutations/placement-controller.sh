# Mutants of internal/placement/controller.
mutant drain-fence internal/placement/controller/drains.go 's/fenced = fenced \|\| d\.fence\(ctx\)/fenced = true/' $S 'FencesWhat'
mutant deaf-passed-over internal/placement/controller/owners.go 's/case m\.Deaf && s\.now/case false \&\& m.Deaf \&\& s.now/' ./internal/placement/controller WhoLosesAPartition
mutant slow-passed-over internal/placement/controller/owners.go 's/case m\.slow && m\.slowFor/case false \&\& m.slow \&\& m.slowFor/' $S 'SlowStore'
mutant load-counts internal/placement/controller/scene.go 's/return idle \+ m\.Loads\[r\.Partition\]/_ = m\n\t\treturn idle/' $S 'SkewedLoad'
mutant newcomer-at-once internal/placement/controller/copies.go 's/wait = min\(wait, d\.early\(s\)\)/_ = d.early(s)/' $S 'ReplacedStore'
mutant restart-moves-nothing internal/placement/controller/copies.go 's/wait = min\(wait, d\.Bounds\.Session\(\)\/2\)/wait = 0/' ./internal/placement/controller HowLongACopy
