package settings

import (
	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/ident"
)

// Operators has the tokens that authorise edits of documents and reads of reports.
type Operators struct {
	// Teams has a token for each team that may edit its own document.
	Teams []TeamToken
	// AdminToken authorises reading all documents and reports. If it is empty,
	// nobody may.
	AdminToken string
}

// TeamToken authorises its bearer to act for a team.
type TeamToken struct {
	Team  ident.TeamName
	Token string
}

const (
	minTokenBytes = 16
	maxTokenBytes = 256
)

var operatorsTable = jsonfile.Object[Operators]{
	Members: []jsonfile.Member[Operators]{
		jsonfile.Required("Teams", func(o *Operators) *[]TeamToken { return &o.Teams },
			jsonfile.List[TeamToken]{
				Item: teamTokenTable,
			},
			"The teams that may edit their document, each with its token."),
		jsonfile.Optional("AdminToken", func(o *Operators) *string { return &o.AdminToken }, tokenCodec(true),
			"The token of those who run the system: they may read all documents and reports; without it nobody may."),
	},
	Check: checkOperators,
}

var teamTokenTable = jsonfile.Object[TeamToken]{
	Members: []jsonfile.Member[TeamToken]{
		jsonfile.Required("Team", func(t *TeamToken) *ident.TeamName { return &t.Team }, nameCodec[ident.TeamName](),
			"The name of the team."),
		jsonfile.Required("Token", func(t *TeamToken) *string { return &t.Token }, tokenCodec(false),
			"The team's token, unlike that of any other."),
	},
}

func tokenCodec(mayBeEmpty bool) jsonfile.Text[string] {
	return jsonfile.Text[string]{
		Max:        maxTokenBytes,
		Check:      isToken,
		Form:       "a token of at least 16 visible ASCII characters without spaces,",
		MayBeEmpty: mayBeEmpty,
		Secret:     true,
	}
}

func isToken(text string) bool {
	for _, r := range text {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return len(text) >= minTokenBytes
}

// checkOperators requires every token to be unique: if two teams shared a token,
// their order would decide whose document an edit changes. Faults never include a
// token, because they are logged.
func checkOperators(o *Operators, path string, faults *jsonfile.Faults) {
	teams := make(map[ident.TeamName]bool)
	tokens := make(map[string]bool)
	if o.AdminToken != "" {
		tokens[o.AdminToken] = true
	}
	for i, t := range o.Teams {
		item := jsonfile.ItemPath(jsonfile.MemberPath(path, "Teams"), i)
		if t.Team != "" && teams[t.Team] {
			faults.Add(jsonfile.MemberPath(item, "Team"), "\""+string(t.Team)+"\" again", "each team once")
		}
		if t.Token != "" && tokens[t.Token] {
			faults.Add(jsonfile.MemberPath(item, "Token"), "a token that stands elsewhere too", "a token of its own")
		}
		teams[t.Team] = true
		tokens[t.Token] = true
	}
}
