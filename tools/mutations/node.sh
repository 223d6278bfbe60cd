# Mutants of internal/node.
mutant astray internal/node/lifecycle.go 's/n\.wg\.Go\(func\(\) \{ n\.reachability\.Run\(ctx\) \}\)/_ = n.reachability.Run/' $S 'PeerThatReaches'
mutant no-disk-no-time internal/node/views.go 's/if n\.leaseManager != nil && opts\.Disk != settings\.DiskNone \{/if n.leaseManager != nil {/' $S 'ReportHeartbeatLatency'
mutant streams-let-go internal/node/lifecycle.go 's/n\.Clients\.Feeds\.WaitFinished\(streamsCtx\)/_ = streamsCtx/' $S 'StreamsForget'
