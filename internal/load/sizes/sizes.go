// Package sizes has the users' sizes: the team document, the load and the fleet
// of each, whole or scaled down to what one machine can carry.
//
// # Usage
//
//	size, found := sizes.Of("kerlouan", 0.5)
//	doc, plan := size.Document(), size.Plan()
//
// # Source
//
// Numbers of models, adapters, replicas, entry hosts and data centres are those
// of the users' brief. What it leaves open is set here: accelerators of 80 GiB,
// how the requests spread over the models, their lengths, and the rate, which
// takes about half of what the engines can do.
package sizes

import (
	"fmt"
	"math"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Names of the users.
const (
	Kerlouan = "kerlouan"
	Nour     = "nour"
)

// Size is one user's size.
type Size struct {
	Name   ident.TeamName
	Region ident.Region
	// DataCentres are those of Region; hosts and servers stand in them in turn.
	DataCentres []ident.DataCentre
	Hosts       int
	Engines     int
	Memory      unit.Bytes
	Models      []Model
	Classes     []Class
	Service     Service
	// RequestsPerSecond is what callers ask for on an ordinary day.
	RequestsPerSecond float64
	// StreamedPercent of the chats' answers are streamed.
	StreamedPercent int
	Pace            Pace
}

// Pace is how fast an engine is, and what is promised of it.
type Pace struct {
	FirstToken           time.Duration
	PerToken             time.Duration
	PromiseFirstToken    time.Duration
	PromiseBetweenTokens time.Duration
}

// Model is a model with its adapters.
type Model struct {
	Name        ident.ModelName
	Memory      unit.Bytes
	Replicas    int
	MaxReplicas int
	Adapters    []ident.AdapterName
	Weight      float64
}

// Class is a class of callers.
type Class struct {
	Name   ident.ClassName
	Share  int
	Weight float64
}

// Service is the user's plain service.
type Service struct {
	Name     ident.ServiceName
	Path     string
	Replicas int
	Weight   float64
}

// The sizes that both users have.
const (
	hosts           = 7
	engines         = 24
	adapters        = 75
	mainReplicas    = 12
	serviceReplicas = 3
	memory          = 80 * unit.Gibibyte
	mainMemory      = 30 * unit.Gibibyte
	otherMemory     = 20 * unit.Gibibyte
	adapterMemory   = unit.Gibibyte / 4
	// perEngine is the rate for each engine: half of 8 slots at 150 ms.
	perEngine = 26
)

// Parts of the requests: 45 of 100 go to the main model, 10 to the service.
const (
	mainWeight    = 45
	othersWeight  = 45
	serviceWeight = 10
)

// defaultPace is that of the stand-in's engines, and a promise that an engine
// keeps which is not overloaded.
func defaultPace() Pace {
	return Pace{
		FirstToken:           40 * time.Millisecond,
		PerToken:             5 * time.Millisecond,
		PromiseFirstToken:    250 * time.Millisecond,
		PromiseBetweenTokens: 20 * time.Millisecond,
	}
}

// Of gives a user's size, scaled: at 1 it is as the brief has it.
func Of(user string, scale float64) (Size, bool) {
	switch user {
	case Kerlouan:
		return kerlouan(scale), true
	case Nour:
		return nour(scale), true
	}
	return Size{}, false
}

func kerlouan(scale float64) Size {
	size := common(scale)
	size.Name = Kerlouan
	size.Region = "finistere"
	size.DataCentres = []ident.DataCentre{"brest-a", "quimper-a"}
	size.Models = models("briefing", "report", 15, scale)
	size.Classes = []Class{
		{
			Name:   "Science",
			Share:  40,
			Weight: 2,
		},
		{
			Name:   "Crew",
			Share:  30,
			Weight: 5,
		},
		{
			Name:   "Landowner",
			Share:  10,
			Weight: 3,
		},
	}
	size.Service.Name = "boat-dispatch"
	size.Service.Path = "/dispatch"
	return size
}

func nour(scale float64) Size {
	size := common(scale)
	size.Name = Nour
	size.Region = "amman"
	size.DataCentres = []ident.DataCentre{"amman-abdali", "amman-marka"}
	size.Models = models("draft", "aftercare", 20, scale)
	size.Classes = []Class{
		{
			Name:   "Chair",
			Share:  50,
			Weight: 6,
		},
		{
			Name:   "Office",
			Share:  20,
			Weight: 4,
		},
	}
	size.Service.Name = "booking"
	size.Service.Path = "/reservations"
	return size
}

func common(scale float64) Size {
	size := Size{
		Hosts:   scaled(hosts, scale, 2),
		Engines: scaled(engines, scale, 3),
		Memory:  memory,
		Service: Service{
			Replicas: scaled(serviceReplicas, scale, 2),
			Weight:   serviceWeight,
		},
		StreamedPercent: streamedPercent,
		Pace:            defaultPace(),
	}
	size.RequestsPerSecond = float64(size.Engines * perEngine)
	return size
}

// models makes the main model and the others, whose weights fall as 1/n.
func models(first, others string, number int, scale float64) []Model {
	count := scaled(float64(number), scale, 3)
	each := scaled(float64(adapters)/float64(number), scale, 1)
	all := []Model{
		{
			Name:        ident.ModelName(first),
			Memory:      mainMemory,
			Replicas:    scaled(mainReplicas, scale, 2),
			MaxReplicas: scaled(mainReplicas+2, scale, 3),
			Adapters:    adaptersOf(first, each),
			Weight:      mainWeight,
		},
	}
	harmonic := 0.0
	for n := 1; n < count; n++ {
		harmonic += 1 / float64(n)
	}
	for n := 1; n < count; n++ {
		name := fmt.Sprintf("%s-%02d", others, n)
		all = append(all, Model{
			Name:        ident.ModelName(name),
			Memory:      otherMemory,
			Replicas:    2,
			MaxReplicas: 3,
			Adapters:    adaptersOf(name, each),
			Weight:      othersWeight / harmonic / float64(n),
		})
	}
	return all
}

func adaptersOf(model string, count int) []ident.AdapterName {
	names := make([]ident.AdapterName, 0, count)
	for n := range count {
		names = append(names, ident.AdapterName(fmt.Sprintf("%s-a%d", model, n+1)))
	}
	return names
}

func scaled(whole, scale float64, least int) int {
	return max(int(math.Round(whole*scale)), least)
}
