# Mutants of internal/lineserver.
mutant waiting-purge internal/lineserver/hold.go 's/if len\(c\.kept\) > 0 \{/if false {/' ./internal/lineserver 'NeverWritten'
mutant flying-cut internal/lineserver/hold.go 's/if cut \{/if false {/' ./internal/lineserver 'UnderWayIsCut'
mutant outlasts-the-visit internal/lineserver/lines.go 's/(c\.mu\.Unlock\(\)\n\tif now \{\n\t\t_ = c\.n\.Close\(\)\n)\t\tc\.free\(\)\n\t\}/$1\t}\n\tc.free()/' ./internal/lineserver 'OutlastsTheVisit'
mutant fleet-waiting-purge internal/lineserver/hold.go 's/if len\(c\.kept\) > 0 \{/if false {/' $S 'RouterDropsOut'
mutant fleet-flying-cut internal/lineserver/hold.go 's/if cut \{/if false {/' $S 'RouterDropsOut'
