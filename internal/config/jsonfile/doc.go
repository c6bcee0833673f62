// Package jsonfile reads and writes the JSON that people edit: settings and
// team documents.
//
// A file is described once, as a table of members; reading, writing and the
// reference page all come from that table. Reading is strict and does not stop
// at the first fault: whoever edits a file sees everything that is wrong with
// it, each fault with the path of the field, what was found and what is allowed.
//
// # Usage
//
//	var listen = jsonfile.Object[Listen]{
//		Members: []jsonfile.Member[Listen]{
//			jsonfile.Need("Callers", func(l *Listen) *string { return &l.Callers },
//				jsonfile.Text[string]{
//					Max: 64,
//				},
//				"Address for callers, as ip:port."),
//		},
//	}
//
//	settings := Listen{} // the defaults
//	if err := jsonfile.Read(data, listen, &settings); err != nil {
//		// errors.As(err, *jsonfile.Faults) has them one by one
//	}
//	text := jsonfile.Write(settings, listen)
//	page := jsonfile.Describe(Listen{}, listen)
//
// # Bounds and errors
//
// A file has at most MaxSize bytes and MaxDepth nested values. Malformed JSON
// is one fault whose path is its line and column, since nothing after it can be
// read with certainty. Member names are compared with their case. Unknown and
// duplicate members are faults: a misspelt optional member would otherwise
// leave its default in force without a word.
//
// The syntax is that of RFC 8259; amounts of memory are strings such as
// "20GiB", lengths of time are strings such as "1.6s" (time.ParseDuration).
package jsonfile
