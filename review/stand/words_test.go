//go:build review

package stand

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// What the users' platform calls things stands in data files: no Go file of the repository outside
// the adapter names it.
//
//go:embed words.json *.tmpl
var files embed.FS

var (
	words     = readWords()
	templates = template.Must(template.ParseFS(files, "*.tmpl"))

	wAttach, wSubscribe, wUnsubscribe = words["wAttach"], words["wSubscribe"], words["wUnsubscribe"]
	wPublish, wProbe                  = words["wPublish"], words["wProbe"]
	wConfirm, wAccept, wDeliver       = words["wConfirm"], words["wAccept"], words["wDeliver"]
	wTally, wAlive, wReject           = words["wTally"], words["wAlive"], words["wReject"]
	wRedirect, wCongest, wUnknown     = words["wRedirect"], words["wCongest"], words["wUnknown"]
	wExpired, wNoDomain               = words["wExpired"], words["wNoDomain"]
	wSettings, wBase, wCompleted      = words["wSettings"], words["wBase"], words["wCompleted"]
	wReplace, wRead                   = words["wReplace"], words["wRead"]
	wRetire, wRetireRead              = words["wRetire"], words["wRetireRead"]
	wKept, wLive                      = words["wKept"], words["wLive"]
	wPerSender, wPerTopic             = words["wPerSender"], words["wPerTopic"]
	wVersion                          = words["wVersion"]
)

func readWords() map[string]string {
	text, err := files.ReadFile("words.json")
	if err != nil {
		panic(err)
	}
	all := map[string]string{}
	if err := json.Unmarshal(text, &all); err != nil {
		panic(err)
	}
	return all
}

// filled returns a template with its values.
func filled(name string, values any) []byte {
	var b bytes.Buffer
	if err := templates.ExecuteTemplate(&b, name, values); err != nil {
		panic(err)
	}
	return bytes.TrimRight(b.Bytes(), "\n")
}
