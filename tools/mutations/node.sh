# Mutants of internal/node.
mutant astray internal/node/node.go 's/n\.goes\(func\(\) \{ n\.touch\.Run\(ctx\) \}\)/_ = n.touch.Run/' $S 'FellowThatReaches'
mutant no-disk-no-time internal/node/node.go 's/if n\.keeper != nil && o\.Disk != options\.DiskNone \{/if n.keeper != nil {/' $S 'TellHowLong'
mutant streams-let-go internal/node/node.go 's/n\.Visitors\.Feeds\.Rest\(cx\)/_ = cx/' $S 'StreamsForget'
