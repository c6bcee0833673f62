package settings

import "cicadaloom/internal/config/jsonfile"

// TLS has the files for serving TLS to callers and operators. Without them both
// are served without encryption, as behind a load balancer that terminates TLS.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

var tlsTable = jsonfile.Object[TLS]{
	Members: []jsonfile.Member[TLS]{
		jsonfile.Optional("CertificateFile", func(t *TLS) *string { return &t.CertificateFile }, fileNameCodec(),
			"The file of the certificate and its chain, in PEM; with KeyFile, or neither."),
		jsonfile.Optional("KeyFile", func(t *TLS) *string { return &t.KeyFile }, fileNameCodec(),
			"The file of the certificate's key, in PEM; with CertificateFile, or neither."),
	},
	Check: checkTLS,
}

const maxFileNameBytes = 4096

func fileNameCodec() jsonfile.Text[string] {
	return jsonfile.Text[string]{
		Max:        maxFileNameBytes,
		Form:       "the name of a file",
		MayBeEmpty: true,
	}
}

// checkTLS refuses a certificate without its key and the reverse: the host would
// then serve without encryption although TLS was intended.
func checkTLS(t *TLS, path string, faults *jsonfile.Faults) {
	switch {
	case t.CertificateFile != "" && t.KeyFile == "":
		faults.Add(jsonfile.MemberPath(path, "KeyFile"), "nothing", "a file, as CertificateFile is given")
	case t.CertificateFile == "" && t.KeyFile != "":
		faults.Add(jsonfile.MemberPath(path, "CertificateFile"), "nothing", "a file, as KeyFile is given")
	}
}
