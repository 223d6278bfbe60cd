# Mutants of internal/node.
mutant reachability-off internal/node/lifecycle.go 's/n\.wg\.Go\(func\(\) \{ n\.reachability\.Run\(ctx\) \}\)/_ = n.reachability.Run/' $S 'PeerThatReaches'
mutant no-disk-no-time internal/node/views.go 's/if n\.leaseManager != nil && opts\.Disk != settings\.DiskNone \{/if n.leaseManager != nil {/' $S 'ReportHeartbeatLatency'
mutant streams-not-awaited internal/node/lifecycle.go 's/n\.Clients\.Feeds\.WaitFinished\(streamsCtx\)/_ = streamsCtx/' $S 'StreamsForget'
