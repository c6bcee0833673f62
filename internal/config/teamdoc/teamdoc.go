// Package teamdoc reads, validates and writes team documents, and validates the
// documents of all teams against each other and the available accelerator memory.
//
// Read and Write check one document, CheckAll checks the set. A document with any
// fault is refused as a whole, and the error lists every fault with the path of
// the field, what was found and what is allowed. The functions keep no state and
// may be called concurrently.
//
// # Usage
//
//	doc, err := teamdoc.Read(text)
//	if err != nil {
//		// errors.As with a *jsonfile.Faults gives access to the single faults
//	}
//	all[doc.Team] = doc
//	if faults := teamdoc.CheckAll(all, servers); len(faults) > 0 {
//		// each document is valid, but they conflict or do not fit the servers
//	}
//	text = teamdoc.Write(doc) // canonical: Read(Write(doc)) equals doc
//
// # Format
//
// A document is JSON with the member names of the structs of package document.
// Amounts of memory are written as "20GiB", promised times as "1.6s". The text has
// at most MaxSizeBytes bytes, so that a document and its history each fit one value
// of the platform's key-value service.
package teamdoc

import (
	"fmt"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/document"
)

// MaxSizeBytes is the greatest size of a document's text: a quarter of the largest
// value that the key-value service accepts. The rest leaves room for the stored
// metadata and for several versions in the document's history.
const MaxSizeBytes = 256 << 10

// Read reads and validates one document. The error is of type jsonfile.Faults and
// has all faults.
func Read(data []byte) (*document.Document, error) {
	if len(data) > MaxSizeBytes {
		return nil, jsonfile.Faults{{
			Found:   fmt.Sprintf("%d bytes", len(data)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxSizeBytes),
		}}
	}
	var result document.Document
	if err := jsonfile.Read(data, documentTable, &result); err != nil {
		return nil, err
	}
	return &result, nil
}

// Write returns the canonical text of a document. If Read would refuse the text,
// the error is of type jsonfile.Faults.
func Write(doc *document.Document) ([]byte, error) {
	text := jsonfile.Write(*doc, documentTable)
	if _, err := Read(text); err != nil {
		return nil, err
	}
	return text, nil
}

// Reference returns the reference page of documents, one entry per member.
func Reference() []jsonfile.Description {
	return jsonfile.Describe(document.Document{}, documentTable)
}
