// Package testbed runs scenarios: text files in the language of testscript, in
// which entry hosts and stand-ins run as processes of their own and are
// killed, frozen, cut off and edited.
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
//	engine NAME [FLAGS]          start a model engine and put it on the list
//	service NAME SERVICE [FLAGS] start a plain service and put it on the list
//	host NAME [SETTINGS.json]    start an entry host; the file is merged over the defaults
//	relay NAME TARGET            start a TCP relay that can be cut
//	signal SIGNAL NAME           send KILL, STOP, CONT or TERM to a process
//	ended NAME [CODE]            wait until a process has ended, with an exit code
//	fault NAME JSON              set the fault switches of a stand-in
//	ask NAME METHOD PATH [HEADER: VALUE]... [-d BODY]
//	                             make a request; the answer is stdout
//	operator NAME TOKEN METHOD PATH [HEADER: VALUE]... [-d BODY]
//	                             the same at a host's administration
//	edit NAME TEAM FILE [REVISION]
//	                             put a team's document through a host
//	revision NAME TEAM VARIABLE  keep the revision in force at a host in a variable
//	until PATTERN COMMAND ...    repeat a command until its stdout matches
//	within DURATION PATTERN COMMAND ...
//	                             the same where the time that it takes is promised
//	begin LABEL COMMAND ...      begin a request and go on
//	finished LABEL               wait for its answer, which is stdout
//	many N COMMAND ...           run a command N times at once; stdout is sorted
//	logged NAME LEVEL MESSAGE [FIELD | FIELD=VALUE]...
//	                             wait for a line in a host's log; check its fields
//	once NAME FIELD=VALUE        check that just one line of a host's log has it
//	transcript FILE              write all answers so far to a file
//	pin                          forget what is in the transcript
//
// A line with ! in front wants the command to fail. Waiting is always for a
// condition, with waitMost as the bound after which the scenario fails.
//
// Ids, instants, ports and times are scrubbed from answers, so that a whole
// session can be compared with a golden file.
package testbed
