# Mutants of internal/httpapi.
mutant stream-cut internal/httpapi/stream_writer.go 's/if p\.aborted\.Load\(\) \{/if false {/' ./internal/httpapi 'CutStreams'
mutant stream-cut-now internal/httpapi/stream_writer.go 's/(Store\(true\)\n\t)_ = p\.controller\.SetWriteDeadline\(time\.Unix\(1, 0\)\)/$1_ = p/' ./internal/httpapi 'CutStreams'
