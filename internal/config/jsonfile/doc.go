// Package jsonfile reads, validates, writes and documents the JSON files that
// people edit: settings and team documents.
//
// A file format is declared once, as a table: an Object with a Member for each
// field, each with the Codec of its type (Text, Integer, Number, Boolean,
// Duration, Bytes, List, Map or another Object). Read, Write and Describe all use
// that table. Reading is strict and does not stop at the first fault: the error,
// of type Faults, lists every fault with the path of the field, what was found
// and what is allowed. Tables are not modified after they are built, so
// goroutines may share them.
//
// # Usage
//
//	var listen = jsonfile.Object[Listen]{
//		Members: []jsonfile.Member[Listen]{
//			jsonfile.Required("Callers", func(l *Listen) *string { return &l.Callers },
//				jsonfile.Text[string]{
//					Max: 64,
//				},
//				"Address for callers, as ip:port."),
//		},
//	}
//
//	settings := Listen{} // holds the defaults
//	if err := jsonfile.Read(data, listen, &settings); err != nil {
//		// errors.As with a *jsonfile.Faults gives access to the single faults
//	}
//	text := jsonfile.Write(settings, listen)
//	page := jsonfile.Describe(Listen{}, listen)
//
// # Bounds and errors
//
// A file has at most MaxSizeBytes bytes and MaxDepth nested values. Malformed
// JSON is reported as one fault whose path is its line and column, because nothing
// after it can be parsed reliably. Member names are case-sensitive. Unknown and
// duplicate members are faults: otherwise a misspelt optional member would
// silently keep its default.
//
// The syntax is that of RFC 8259. Amounts of memory are strings such as "20GiB",
// durations are strings such as "1.6s" (see time.ParseDuration).
package jsonfile
