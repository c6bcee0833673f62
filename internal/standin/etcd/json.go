package etcd

import "io"

// SetJSON replaces all faults with those in the JSON, as POST /faults does.
func (s *Server) SetJSON(from io.Reader) error {
	faults, err := decodeFaults(from)
	if err != nil {
		return err
	}
	s.SetFaults(faults)
	return nil
}
