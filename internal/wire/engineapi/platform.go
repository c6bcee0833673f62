package engineapi

import (
	"github.com/pkg/errors"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

type wireHosts struct {
	Hosts []wireServer
}

type wireServer struct {
	Name       string
	Kind       string
	State      string
	Address    string
	DataCentre string
	Region     string
	Service    string `json:",omitempty"`
}

// EncodeHosts encodes the answer to PathHosts.
func EncodeHosts(servers []backend.Server) ([]byte, error) {
	wire := wireHosts{
		Hosts: make([]wireServer, 0, len(servers)),
	}
	for _, server := range servers {
		wire.Hosts = append(wire.Hosts, toWireServer(server))
	}
	return encode(wire, "host list")
}

// DecodeHosts decodes the platform's host list. It fails as a whole if one entry is
// invalid or a name occurs twice.
func DecodeHosts(body []byte) ([]backend.Server, error) {
	wire, err := decode[wireHosts](body, "host list")
	if err != nil {
		return nil, err
	}
	servers := make([]backend.Server, 0, len(wire.Hosts))
	seen := make(map[string]struct{}, len(wire.Hosts))
	for i := range wire.Hosts {
		server, err := wire.Hosts[i].toServer()
		if err != nil {
			return nil, errors.Wrapf(err, "host list: Hosts[%d]", i)
		}
		if _, twice := seen[wire.Hosts[i].Name]; twice {
			return nil, errors.Errorf("host list: Hosts[%d].Name: %q stands twice", i, server.Name)
		}
		seen[wire.Hosts[i].Name] = struct{}{}
		servers = append(servers, server)
	}
	return servers, nil
}

// EncodeServer encodes one entry of the host list.
func EncodeServer(server backend.Server) ([]byte, error) {
	return encode(toWireServer(server), "host")
}

// DecodeServer decodes one entry of the host list.
func DecodeServer(body []byte) (backend.Server, error) {
	wire, err := decode[wireServer](body, "host")
	if err != nil {
		return backend.Server{}, err
	}
	server, err := wire.toServer()
	return server, errors.Wrap(err, "host")
}

func toWireServer(server backend.Server) wireServer {
	return wireServer{
		Name:       string(server.Name),
		Kind:       string(server.Kind),
		State:      string(server.State),
		Address:    server.Address,
		DataCentre: string(server.DataCentre),
		Region:     string(server.Region),
		Service:    string(server.Service),
	}
}

func (w *wireServer) toServer() (backend.Server, error) {
	if w.Name == "" || w.Address == "" {
		return backend.Server{}, errors.New("Name, Address: found none")
	}
	switch backend.Kind(w.Kind) {
	case backend.KindEngine, backend.KindService, backend.KindEntry:
	default:
		return backend.Server{}, errors.Errorf("Kind: found %q", w.Kind)
	}
	switch backend.State(w.State) {
	case backend.StateLive, backend.StateLeaving:
	default:
		return backend.Server{}, errors.Errorf("State: found %q", w.State)
	}
	return backend.Server{
		Name:       ident.ServerName(w.Name),
		Kind:       backend.Kind(w.Kind),
		State:      backend.State(w.State),
		Address:    w.Address,
		DataCentre: ident.DataCentre(w.DataCentre),
		Region:     ident.Region(w.Region),
		Service:    ident.ServiceName(w.Service),
	}, nil
}

// WeightLoad is an engine's request for weights from the weight store.
type WeightLoad struct {
	Model   ident.ModelName
	Adapter ident.AdapterName
	Version ident.Version
	Memory  unit.Bytes
}

type wireWeightLoad struct {
	Model   string
	Adapter string `json:",omitempty"`
	Version string
	Memory  int64
}

// EncodeWeightLoad encodes the body for PathWeightLoads.
func EncodeWeightLoad(load WeightLoad) ([]byte, error) {
	return encode(wireWeightLoad{
		Model:   string(load.Model),
		Adapter: string(load.Adapter),
		Version: string(load.Version),
		Memory:  int64(load.Memory),
	}, "weight load")
}

// DecodeWeightLoad decodes the body for PathWeightLoads.
func DecodeWeightLoad(body []byte) (WeightLoad, error) {
	wire, err := decode[wireWeightLoad](body, "weight load")
	if err != nil {
		return WeightLoad{}, err
	}
	if wire.Model == "" || wire.Memory < 0 {
		return WeightLoad{}, errors.New("weight load: found no Model or a Memory below 0")
	}
	return WeightLoad{
		Model:   ident.ModelName(wire.Model),
		Adapter: ident.AdapterName(wire.Adapter),
		Version: ident.Version(wire.Version),
		Memory:  unit.Bytes(wire.Memory),
	}, nil
}

// WeightStatus is the weight store's report on its load.
type WeightStatus struct {
	// InTransit counts the loads in progress, LoadsDone those that have ended since the
	// store started.
	InTransit int
	LoadsDone int64
}

type wireWeightStatus struct {
	InTransit int
	LoadsDone int64
}

// EncodeWeightStatus encodes the answer to PathWeightStatus.
func EncodeWeightStatus(status WeightStatus) ([]byte, error) {
	return encode(wireWeightStatus(status), "weight store status")
}

// DecodeWeightStatus decodes the status of the weight store.
func DecodeWeightStatus(body []byte) (WeightStatus, error) {
	wire, err := decode[wireWeightStatus](body, "weight store status")
	if err != nil {
		return WeightStatus{}, err
	}
	if wire.InTransit < 0 || wire.LoadsDone < 0 {
		return WeightStatus{}, errors.New("weight store status: found a count below 0")
	}
	return WeightStatus(wire), nil
}
