package settings

import "cicadaloom/internal/config/jsonfile"

// TLS has the files for TLS towards callers and operators; without them both
// are served in the clear, as behind a balancer that ends TLS.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

var tlsTable = jsonfile.Object[TLS]{
	Members: []jsonfile.Member[TLS]{
		jsonfile.May("CertificateFile", func(t *TLS) *string { return &t.CertificateFile }, fileName(),
			"The file of the certificate and its chain, in PEM; with KeyFile, or neither."),
		jsonfile.May("KeyFile", func(t *TLS) *string { return &t.KeyFile }, fileName(),
			"The file of the certificate's key, in PEM; with CertificateFile, or neither."),
	},
	Check: checkTLS,
}

const longestFileName = 4096

func fileName() jsonfile.Text[string] {
	return jsonfile.Text[string]{
		Max:        longestFileName,
		Form:       "the name of a file",
		MayBeEmpty: true,
	}
}

// checkTLS refuses half a pair: it would serve in the clear what was meant to
// be encrypted.
func checkTLS(t *TLS, path string, faults *jsonfile.Faults) {
	switch {
	case t.CertificateFile != "" && t.KeyFile == "":
		faults.Add(jsonfile.Join(path, "KeyFile"), "nothing", "a file, as CertificateFile is given")
	case t.CertificateFile == "" && t.KeyFile != "":
		faults.Add(jsonfile.Join(path, "CertificateFile"), "nothing", "a file, as KeyFile is given")
	}
}
