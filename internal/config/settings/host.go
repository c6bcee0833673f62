package settings

import (
	"regexp"
	"strconv"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/ident"
)

// Host identifies this host and its location.
type Host struct {
	Name       ident.HostID
	DataCentre ident.DataCentre
	Region     ident.Region
	// DataCentres maps all data centres to their regions; the same on every host.
	DataCentres map[ident.DataCentre]ident.Region
}

const (
	maxNameBytes = 63
	nameForm     = "a name of a-z, 0-9 and - that starts and ends with a letter or digit,"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// nameCodec returns the codec of the name of a host, data centre, region or team.
// The alphabet is narrow because names are part of keys, metrics and log lines.
func nameCodec[S ~string]() jsonfile.Text[S] {
	return jsonfile.Text[S]{
		Max:     maxNameBytes,
		Pattern: namePattern,
		Form:    nameForm,
	}
}

// HostTable is the table of Host. Settings of other programs include it too.
var HostTable = jsonfile.Object[Host]{
	Members: []jsonfile.Member[Host]{
		jsonfile.Required("Name", func(h *Host) *ident.HostID { return &h.Name }, nameCodec[ident.HostID](),
			"The name of this entry host, unlike that of any other."),
		jsonfile.Required("DataCentre", func(h *Host) *ident.DataCentre { return &h.DataCentre }, nameCodec[ident.DataCentre](),
			"The data centre that this host stands in: one of DataCentres."),
		jsonfile.Required("Region", func(h *Host) *ident.Region { return &h.Region }, nameCodec[ident.Region](),
			"The region of DataCentre, as DataCentres has it."),
		jsonfile.Required("DataCentres", func(h *Host) *map[ident.DataCentre]ident.Region { return &h.DataCentres },
			jsonfile.Map[ident.DataCentre, ident.Region]{
				Key:  nameCodec[ident.DataCentre](),
				Item: nameCodec[ident.Region](),
				Min:  1,
				Max:  maxDataCentres,
			},
			"All data centres, each with its region; the same on every host."),
	},
	Check: checkHost,
}

const maxDataCentres = 100

func checkHost(h *Host, path string, faults *jsonfile.Faults) {
	if h.DataCentre == "" || h.Region == "" || len(h.DataCentres) == 0 {
		return
	}
	region, known := h.DataCentres[h.DataCentre]
	switch {
	case !known:
		faults.Add(jsonfile.MemberPath(path, "DataCentre"), strconv.Quote(string(h.DataCentre)), "a data centre that DataCentres has")
	case region != "" && region != h.Region:
		faults.Add(jsonfile.MemberPath(path, "Region"), strconv.Quote(string(h.Region)),
			strconv.Quote(string(region))+", the region of "+string(h.DataCentre)+" in DataCentres")
	}
}
