// Package teamdoc reads, checks and writes team documents, and checks all
// documents together.
//
// A document is refused as a whole: with any fault nothing of it comes into
// force, and the error lists every fault with the path of the field, what was
// found and what is allowed.
//
// # Usage
//
//	doc, err := teamdoc.Read(text)
//	if err != nil {
//		// errors.As(err, *jsonfile.Faults) has the faults one by one
//	}
//	all[doc.Team] = doc
//	if faults := teamdoc.CheckTogether(all, servers); len(faults) > 0 {
//		// each document is sound, but not all of them at once
//	}
//	text = teamdoc.Write(doc) // canonical: Read(Write(doc)) equals doc
//
// # Format
//
// JSON with the Pascal case names of package document. Amounts of memory are
// written as "20GiB", promised times as "1.6s". A text has at most MaxSize
// bytes, so that a document and its history each fit a value of the platform's
// key-value service.
package teamdoc

import (
	"fmt"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/document"
)

// MaxSize is the greatest size of a document's text in bytes: a quarter of what
// the key-value service takes as one value. The rest is room for the wrapper
// around it, and for several versions in the document's history.
const MaxSize = 256 << 10

// Read reads a document and checks it by itself. The error is of type
// jsonfile.Faults and has all faults.
func Read(data []byte) (*document.Document, error) {
	if len(data) > MaxSize {
		return nil, jsonfile.Faults{{
			Found:   fmt.Sprintf("%d bytes", len(data)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxSize),
		}}
	}
	var result document.Document
	if err := jsonfile.Read(data, documentTable, &result); err != nil {
		return nil, err
	}
	return &result, nil
}

// Write gives the canonical text of a document. The error is of type
// jsonfile.Faults: Read would not take the text.
func Write(doc *document.Document) ([]byte, error) {
	text := jsonfile.Write(*doc, documentTable)
	if _, err := Read(text); err != nil {
		return nil, err
	}
	return text, nil
}

// Reference gives the reference page of documents, one line a member.
func Reference() []jsonfile.Description {
	return jsonfile.Describe(document.Document{}, documentTable)
}
