# Mutants of internal/httpapi.
mutant stream-cut internal/httpapi/stream_writer.go 's/if s\.aborted\.Load\(\) \{/if false {/' ./internal/httpapi 'CutStreams'
mutant stream-cut-now internal/httpapi/stream_writer.go 's/(Store\(true\)\n\t)_ = s\.controller\.SetWriteDeadline\(time\.Unix\(1, 0\)\)/$1_ = s/' ./internal/httpapi 'CutStreams'
