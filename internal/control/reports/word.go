package reports

import (
	"cmp"
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// Reader is the host that a word is for.
type Reader struct {
	Host   ident.HostID
	Region ident.Region
	// All asks for every region's reports at the pace of its own.
	All bool
}

// Word gives what a reader is to be told that has taken in everything up to the
// version have.
func (m *Machine) Word(to Reader, have uint64) Word {
	word := Word{
		Through: m.version,
	}
	for _, news := range m.news(to, have) {
		whole := news.holdingVersion > have || m.hashes[Hash(news.report.Server)] == ""
		if whole && len(word.Holdings) == MaxHoldings || len(word.Loads) == MaxLoads {
			word.Through = news.due(have) - 1
			word.More = true
			return word
		}
		if whole {
			word.Holdings = append(word.Holdings, news.holding())
		} else {
			word.Loads = append(word.Loads, news.load())
		}
	}
	return word
}

func (s *slot) load() Load {
	return Load{
		Server:  Hash(s.report.Server),
		Digest:  s.digest,
		At:      s.report.At,
		Running: s.report.Running,
		Waiting: s.report.Waiting,
	}
}

func (s *slot) holding() Holding {
	return Holding{
		Report: backend.Report{
			Server:      s.report.Server,
			Incarnation: s.report.Incarnation,
			At:          s.report.At,
			Memory:      s.report.Memory,
			Residents:   s.report.Residents,
			Running:     s.report.Running,
			Waiting:     s.report.Waiting,
			Slots:       s.report.Slots,
			Leaving:     s.report.Leaving,
		},
		Digest: s.digest,
	}
}

// due is the version up to which a word has to go to tell this news: that of the
// holdings where they are news, for loads go on changing meanwhile, and a word
// that was cut short would leave the holdings out for good.
func (s *slot) due(have uint64) uint64 {
	if s.holdingVersion > have {
		return s.holdingVersion
	}
	return s.version
}

func (m *Machine) news(to Reader, have uint64) []*slot {
	var news []*slot
	for _, known := range m.servers {
		told := &known.wide
		if to.All || known.region == to.Region {
			told = &known.near
		}
		if told.version > have && told.from != to.Host {
			news = append(news, told)
		}
	}
	slices.SortFunc(news, func(a, b *slot) int {
		return cmp.Compare(a.due(have), b.due(have))
	})
	return news
}
