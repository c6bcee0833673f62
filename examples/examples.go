// Package examples has complete examples of documents and settings, so that
// the demo runs what an operator can read and copy.
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
