package teamdoc

import (
	"fmt"
	"strconv"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

func checkDocument(d *document.Document, path string, faults *jsonfile.Faults) {
	if len(d.Models) == 0 && len(d.Services) == 0 {
		faults.Add(path, "no model and no service", "at least one model or service")
	}
	checkClasses(d, path, faults)
	owners := make(map[string]string)
	for _, use := range listNameUses(d) {
		if use.name == "" {
			continue // the member table has already reported this fault
		}
		if owner, taken := owners[use.name]; taken {
			faults.Add(jsonfile.MemberPath(path, use.path), strconv.Quote(use.name), "a name other than that of "+owner)
			continue
		}
		owners[use.name] = use.path
	}
}

func checkClasses(d *document.Document, path string, faults *jsonfile.Faults) {
	classes := make(map[ident.ClassName]bool)
	shares := 0
	for i, class := range d.Classes {
		if class.Name != "" && classes[class.Name] {
			faults.Add(jsonfile.MemberPath(path, jsonfile.ItemPath("Classes", i)+".Name"), strconv.Quote(string(class.Name)), "each class once")
		}
		classes[class.Name] = true
		shares += class.Share
	}
	if shares > 100 {
		faults.Add(jsonfile.MemberPath(path, "Classes"), fmt.Sprintf("shares of %d in all", shares), "at most 100")
	}
	if d.DefaultClass != "" && len(d.Classes) > 0 && !classes[d.DefaultClass] {
		faults.Add(jsonfile.MemberPath(path, "DefaultClass"), strconv.Quote(string(d.DefaultClass)), "the name of one of Classes")
	}
}

func checkModel(m *document.Model, path string, faults *jsonfile.Faults) {
	if m.MaxReplicas != 0 && m.Replicas > m.MaxReplicas {
		faults.Add(jsonfile.MemberPath(path, "MaxReplicas"), strconv.Itoa(m.MaxReplicas), fmt.Sprintf("at least Replicas, %d", m.Replicas))
	}
}

func checkService(s *document.Service, path string, faults *jsonfile.Faults) {
	seen := make(map[string]bool)
	for i, method := range s.ForbidRepeat {
		if method != "" && seen[method] {
			faults.Add(jsonfile.MemberPath(path, jsonfile.ItemPath("ForbidRepeat", i)), strconv.Quote(method), "each method once")
		}
		seen[method] = true
	}
}

// nameUse is a model, adapter or service name that callers send in requests, with
// its path in the document.
type nameUse struct {
	name string
	path string
}

// listNameUses returns the names of all models, adapters and services in the
// order of the document.
func listNameUses(d *document.Document) []nameUse {
	var result []nameUse
	for i := range d.Models {
		model := &d.Models[i]
		path := jsonfile.ItemPath("Models", i)
		result = append(result, nameUse{
			name: string(model.Name),
			path: path + ".Name",
		})
		for j, adapter := range model.Adapters {
			result = append(result, nameUse{
				name: string(adapter.Name),
				path: jsonfile.ItemPath(path+".Adapters", j) + ".Name",
			})
		}
	}
	for i, service := range d.Services {
		result = append(result, nameUse{
			name: string(service.Name),
			path: jsonfile.ItemPath("Services", i) + ".Name",
		})
	}
	return result
}
