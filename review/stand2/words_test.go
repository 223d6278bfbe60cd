//go:build review

package stand2

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// The words of the users' platform are in data files, since no Go file of the repository outside the
// adapter may have them.
//
//go:embed words.json *.tmpl
var files embed.FS

var (
	words     = readWords()
	templates = template.Must(template.ParseFS(files, "*.tmpl"))

	wordAttach, wordSubscribe, wordUnsubscribe = words["attach"], words["subscribe"], words["unsubscribe"]
	wordPublish, wordHeartbeat, wordDeliver    = words["publish"], words["heartbeat"], words["deliver"]
	wordConfirm, wordAccept, wordReject        = words["confirm"], words["accept"], words["reject"]
	wordRedirect                               = words["redirect"]
	settingsVariable, baseHeader               = words["settings"], words["base"]
	replacePath, readPath                      = words["replace"], words["read"]
)

func readWords() map[string]string {
	text, err := files.ReadFile("words.json")
	must(err)
	all := map[string]string{}
	must(json.Unmarshal(text, &all))
	return all
}

// fill returns a template with its values.
func fill(name string, values any) []byte {
	var b bytes.Buffer
	must(templates.ExecuteTemplate(&b, name, values))
	return bytes.TrimRight(b.Bytes(), "\n")
}
