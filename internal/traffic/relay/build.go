package relay

// refuseWithoutBuild ends a request that can only go on at a build of the software that no server
// runs, or that none runs with the weights loaded. A server that has crashed may be back later.
func (s *requestState) refuseWithoutBuild() {
	s.abandonWithRetryAfter(loadRetryAfter, "no server runs the build that began the stream")
}
