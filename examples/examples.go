// Package examples embeds the example team documents, the same files that operators
// read and copy. The demo command runs one of them.
//
// # Usage
//
//	doc, err := teamdoc.Read(examples.Kerlouan)
package examples

import _ "embed" // for the files beside this one

// Kerlouan is the document of Kerlouan Ballon Récupération.
//
//go:embed kerlouan/document.json
var Kerlouan []byte

// Nour is the document of the Nour Hair Foundation.
//
//go:embed nour/document.json
var Nour []byte
