package operator

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"
	"go.uber.org/zap"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/domain/ident"
)

// Headers of edits.
const (
	// HeaderEditID is the id of an edit. An edit whose answer was lost or Unknown is
	// submitted again with the same id, and takes effect once.
	HeaderEditID  = "Cicadaloom-Edit"
	headerIfMatch = "If-Match"
	headerETag    = "Etag"
	// HeaderResubmitted marks an edit that is submitted again.
	HeaderResubmitted = "Cicadaloom-Again"
)

func (s *Server) listDocuments(w http.ResponseWriter, _ bunrouter.Request) error {
	list := wireDocuments{
		Documents: []wireDocument{},
	}
	if snapshot := s.Control.Documents(); snapshot != nil {
		list.Revision = int64(snapshot.Revision)
		for team, version := range snapshot.Versions {
			if version.Deleted {
				continue
			}
			list.Documents = append(list.Documents, wireDocument{
				Team:     string(team),
				Revision: int64(version.Revision),
			})
		}
	}
	sort.Slice(list.Documents, func(i, j int) bool { return list.Documents[i].Team < list.Documents[j].Team })
	return writeJSON(w, http.StatusOK, list)
}

func (s *Server) getDocument(w http.ResponseWriter, request bunrouter.Request) error {
	team := ident.TeamName(request.Param("team"))
	snapshot := s.Control.Documents()
	if snapshot != nil {
		version, found := snapshot.Versions[team]
		if found {
			// A deleted document has a revision too, on which the team's next edit is based.
			setETag(w, version.Revision)
		}
		if found && !version.Deleted {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusOK)
			_, err := w.Write(version.Text)
			return err
		}
	}
	return writeProblem(w, http.StatusNotFound, problem{
		Code:    codeNotFound,
		Message: "team " + string(team) + " has no document in force at this host",
	})
}

func setETag(w http.ResponseWriter, revision ident.Revision) {
	w.Header().Set(headerETag, `"`+strconv.FormatInt(int64(revision), 10)+`"`)
}

func (s *Server) putDocument(w http.ResponseWriter, request bunrouter.Request) error {
	text, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxDocumentBytes))
	if err != nil {
		return badInput(w, "the document could not be read: "+err.Error())
	}
	return s.edit(w, request, documents.EditSubmitted{
		Text: text,
	})
}

func (s *Server) deleteDocument(w http.ResponseWriter, request bunrouter.Request) error {
	return s.edit(w, request, documents.EditSubmitted{
		Delete: true,
	})
}

func badInput(w http.ResponseWriter, message string) error {
	return writeProblem(w, http.StatusBadRequest, problem{
		Code:    codeBadInput,
		Message: message,
	})
}

func (s *Server) edit(w http.ResponseWriter, request bunrouter.Request, edit documents.EditSubmitted) error {
	base, err := strconv.ParseInt(strings.Trim(request.Header.Get(headerIfMatch), `"`), 10, 64)
	if err != nil || base < 0 {
		return badInput(w, headerIfMatch+": found "+strconv.Quote(request.Header.Get(headerIfMatch))+
			`, allowed the revision that the edit starts from, such as "17", or "0" for a new team`)
	}
	edit.Base = ident.Revision(base)
	edit.Team = ident.TeamName(request.Param("team"))
	edit.Deadline = s.Now().Add(callTimeout)
	edit.IsResubmitted = request.Header.Get(HeaderResubmitted) != ""
	edit.Edit = ident.EditID(request.Header.Get(HeaderEditID))
	if edit.Edit == "" {
		edit.Edit = ident.NewEditID()
	}
	result, err := s.Control.Edit(request.Context(), edit)
	if err != nil {
		result = documents.Unknown{
			RetryAt: s.Now().Add(time.Second),
		}
	}
	s.Log.Info("edit", zap.String("Team", string(edit.Team)), zap.String("EditID", string(edit.Edit)), zap.Any("Result", result))
	return s.writeEditResult(w, edit, result)
}

func (s *Server) writeEditResult(w http.ResponseWriter, edit documents.EditSubmitted, result documents.EditResult) error {
	w.Header().Set(HeaderEditID, string(edit.Edit))
	switch result := result.(type) {
	case documents.Accepted:
		setETag(w, result.Revision)
		return writeJSON(w, http.StatusOK, wireAccepted{
			Team:     string(edit.Team),
			Revision: int64(result.Revision),
			Edit:     string(edit.Edit),
		})
	case documents.Conflict:
		setETag(w, result.Revision)
		return writeProblem(w, http.StatusConflict, problem{
			Code:     codeConflict,
			Message:  "another edit came first; merge with it and edit its revision",
			Revision: int64(result.Revision),
			Theirs:   string(result.Theirs),
			Yours:    string(result.Yours),
		})
	case documents.Refused:
		return writeProblem(w, http.StatusUnprocessableEntity, problem{
			Code:    codeRefused,
			Message: "the document was not accepted; nothing has changed",
			Faults:  encodeFaults(result.Faults),
		})
	case documents.Unavailable:
		return writeProblem(w, http.StatusServiceUnavailable, problem{
			Code:    codeUnavailable,
			Message: "the edit was not carried out: " + result.Reason,
			Edit:    string(edit.Edit),
			RetryAt: &result.RetryAt,
		})
	case documents.Unknown:
		return writeProblem(w, http.StatusGatewayTimeout, problem{
			Code:    codeUnknown,
			Message: "the edit may have been accepted or may be yet; submit it again under the same id with " + HeaderResubmitted,
			Edit:    string(edit.Edit),
			RetryAt: &result.RetryAt,
		})
	}
	return nil
}

func encodeFaults(faults jsonfile.Faults) []wireFault {
	wire := make([]wireFault, 0, len(faults))
	for _, fault := range faults {
		wire = append(wire, wireFault{
			Path:    fault.Path,
			Found:   fault.Found,
			Allowed: fault.Allowed,
		})
	}
	return wire
}

func (s *Server) history(w http.ResponseWriter, request bunrouter.Request) error {
	team := ident.TeamName(request.Param("team"))
	versions, err := s.Control.History(request.Context(), team)
	if err != nil {
		return unavailable(w, err)
	}
	if snapshot := s.Control.Documents(); snapshot != nil {
		if current, found := snapshot.Versions[team]; found {
			versions = append(versions, current)
		}
	}
	wire := make([]wireVersion, 0, len(versions))
	for _, version := range versions {
		wire = append(wire, wireVersion{
			Revision: int64(version.Revision),
			Edit:     string(version.Edit),
			At:       version.SwapSentAt,
			Deleted:  version.Deleted,
			Document: version.Text,
		})
	}
	return writeJSON(w, http.StatusOK, wire)
}

func unavailable(w http.ResponseWriter, err error) error {
	return writeProblem(w, http.StatusServiceUnavailable, problem{
		Code:    codeUnavailable,
		Message: err.Error(),
	})
}
