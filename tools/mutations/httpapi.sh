# Mutants of internal/httpapi.
mutant stream-cut internal/httpapi/paper.go 's/if p\.gone\.Load\(\) \{/if false {/' ./internal/httpapi 'CutStreams'
mutant stream-cut-now internal/httpapi/paper.go 's/(Store\(true\)\n\t)_ = p\.c\.SetWriteDeadline\(time\.Unix\(1, 0\)\)/$1_ = p/' ./internal/httpapi 'CutStreams'
