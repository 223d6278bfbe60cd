# Mutants of internal/lineserver.
mutant pending-purge internal/lineserver/buffer.go 's/if len\(c\.pendingSpans\) > 0 \{/if false {/' ./internal/lineserver 'NeverWritten'
mutant in-flight-cut internal/lineserver/buffer.go 's/if mayClose \{/if false {/' ./internal/lineserver 'UnderWayIsCut'
mutant outlasts-the-session internal/lineserver/server.go 's/(c\.mu\.Unlock\(\)\n\tif isDrained \{\n\t\t_ = c\.netConn\.Close\(\)\n)\t\tc\.notifyDrained\(\)\n\t\}/$1\t}\n\tc.notifyDrained()/' ./internal/lineserver 'OutlastTheSession'
mutant fleet-pending-purge internal/lineserver/buffer.go 's/if len\(c\.pendingSpans\) > 0 \{/if false {/' $S 'RouterDropsOut'
mutant fleet-in-flight-cut internal/lineserver/buffer.go 's/if mayClose \{/if false {/' $S 'RouterDropsOut'
