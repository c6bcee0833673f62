// Package testbed runs end-to-end scenarios: testscript files (testdata/*.txtar)
// that start entry hosts and stand-ins as processes, kill or freeze them, cut
// their connections, and edit documents. Setup prepares each scenario, Commands
// has the commands that the package adds to testscript's own.
//
// # Usage
//
//	testscript.Run(t, testscript.Params{
//		Dir:   "testdata",
//		Setup: testbed.Setup,
//		Cmds:  testbed.Commands(),
//	})
//
// # Commands
//
//	platform                     start the key-value service, host list and weight store
//	engine NAME [FLAGS]          start a model engine and add it to the host list
//	service NAME SERVICE [FLAGS] start a plain service and add it to the host list
//	host NAME [SETTINGS.json]    start an entry host; the file is merged over the defaults
//	relay NAME TARGET            start a TCP relay that can drop its connections
//	signal SIGNAL NAME           send KILL, STOP, CONT or TERM to a process
//	ended NAME [CODE]            wait until a process has ended, with an exit code
//	fault NAME JSON              set the fault switches of a stand-in
//	ask NAME METHOD PATH [HEADER: VALUE]... [-d BODY | -f FILE]
//	                             send a request as a caller; the answer is stdout
//	operator NAME TOKEN METHOD PATH [HEADER: VALUE]... [-d BODY | -f FILE]
//	                             send a request to a host's administration API
//	edit NAME TEAM FILE [REVISION]
//	                             put a team's document through a host
//	revision NAME TEAM VARIABLE  store the revision in force at a host in a variable
//	until PATTERN COMMAND ...    repeat an ask or operator command until its answer matches
//	within DURATION PATTERN COMMAND ...
//	                             the same with a time limit, for times that are promised
//	begin LABEL COMMAND ...      send a request without waiting for its answer
//	finished LABEL               wait for that answer, which is stdout
//	many N COMMAND ...           send a request N times concurrently; stdout has counts, sorted
//	logged NAME LEVEL MESSAGE [FIELD | FIELD=VALUE]...
//	                             wait for a line in a host's log; check its fields
//	once NAME FIELD=VALUE        check that exactly one line of a host's log has the field
//	transcript FILE              write all answers since the last pin to a file
//	pin                          clear the transcript
//
// A leading ! expects the command to fail. Every wait is for a condition, and the
// scenario fails after waitTimeout.
//
// Ids, instants, addresses and durations in answers are replaced by placeholders,
// so that a session can be compared with a golden file. Scenarios run in parallel;
// each has its own loopback address and working directory. The package's own test
// runs them: go test ./internal/scenario/testbed, with -update to rewrite golden
// files.
package testbed
