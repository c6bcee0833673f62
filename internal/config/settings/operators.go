package settings

import (
	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/ident"
)

// Operators says who may edit what.
type Operators struct {
	// Teams has a token for each team that may edit its own document.
	Teams []TeamToken
	// AdminToken may read everything; empty means nobody may.
	AdminToken string
}

// TeamToken lets its bearer act for a team.
type TeamToken struct {
	Team  ident.TeamName
	Token string
}

const (
	shortestToken = 16
	longestToken  = 256
)

var operatorsTable = jsonfile.Object[Operators]{
	Members: []jsonfile.Member[Operators]{
		jsonfile.Need("Teams", func(o *Operators) *[]TeamToken { return &o.Teams },
			jsonfile.List[TeamToken]{
				Item: teamTokenTable,
			},
			"The teams that may edit their document, each with its token."),
		jsonfile.May("AdminToken", func(o *Operators) *string { return &o.AdminToken }, token(true),
			"The token of those who run the system: they may read all documents and reports; without it nobody may."),
	},
	Check: checkOperators,
}

var teamTokenTable = jsonfile.Object[TeamToken]{
	Members: []jsonfile.Member[TeamToken]{
		jsonfile.Need("Team", func(t *TeamToken) *ident.TeamName { return &t.Team }, name[ident.TeamName](),
			"The name of the team."),
		jsonfile.Need("Token", func(t *TeamToken) *string { return &t.Token }, token(false),
			"The team's token, unlike that of any other."),
	},
}

func token(mayBeEmpty bool) jsonfile.Text[string] {
	return jsonfile.Text[string]{
		Max:        longestToken,
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
	return len(text) >= shortestToken
}

// checkOperators keeps each token to one bearer: with two teams on one token it
// would depend on their order whose document an edit changes. The tokens
// themselves are never quoted: faults end up in logs.
func checkOperators(o *Operators, path string, faults *jsonfile.Faults) {
	teams := make(map[ident.TeamName]bool)
	tokens := make(map[string]bool)
	if o.AdminToken != "" {
		tokens[o.AdminToken] = true
	}
	for i, t := range o.Teams {
		item := jsonfile.Index(jsonfile.Join(path, "Teams"), i)
		if t.Team != "" && teams[t.Team] {
			faults.Add(jsonfile.Join(item, "Team"), "\""+string(t.Team)+"\" again", "each team once")
		}
		if t.Token != "" && tokens[t.Token] {
			faults.Add(jsonfile.Join(item, "Token"), "a token that stands elsewhere too", "a token of its own")
		}
		teams[t.Team] = true
		tokens[t.Token] = true
	}
}
