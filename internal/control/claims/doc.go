// Package claims decides whether a request that must not be repeated may be sent
// to a backend server. Each such request runs at most once, also where entry hosts
// crash, freeze or restart without memory and the key-value service loses answers.
//
// Machine is a state machine without locks, goroutines or I/O. The control loop of
// an entry host calls Step with an Event and carries out the returned Commands.
//
// # Stored state
//
// A request is identified by its team and its caller's idempotency key. A caller
// that repeats a request makes a new attempt under the same key. Keys are
// spread by hash over a fixed number of partitions. A partition is a log in the
// key-value service: its newest entries are in the head
// (/cicadaloom/claims/<partition>/head), older ones in sealed segments
// (/cicadaloom/claims/<partition>/segment/<n>), which never change and are deleted
// when all their entries are past KeepUntil. Head and segments are the partition's
// pages. Each change is one compare-and-swap on the head's revision. Replaying the
// log yields the state of each key: absent, claimed, finished, or released.
//
// # Why a request runs at most once
//
// The revision of the head is the fence. A host grants an attempt only after it
// knows that the page with the attempt's claim is written, and a claim is written
// only to a log, at a known revision, in which the key is free. Two hosts that both
// find a key free compare the same revision, so one of the swaps fails as a whole.
// This needs no lease, no clock and no agreement on the partition owner: a host that
// was frozen for a day has an old revision, and its swap fails. The revision of a
// head never repeats, since a head is never deleted.
//
// Only the machine at the attempt's origin, the host at which the caller waits,
// grants the attempt, and at most once. Any number of hosts may process a claim for
// the origin: they all write the same attempt id, and finding one's own attempt id
// in the log is as good as having written it.
//
// # Swaps with an unknown outcome
//
// Such a swap may have taken effect, or may still do so: as long as nothing newer is
// written its compare holds. The machine reads the head again. A claim that it finds
// there is granted. One that it does not find is written again at the revision that
// was read: if the earlier swap takes effect first, this one fails and the next read
// shows the claim; if this one takes effect, the earlier one can only fail. Either
// way nothing is granted before the claim has been seen in the log.
//
// A claim whose caller stops waiting meanwhile is refused at once. The refusal needs
// no fence, since only this machine could have granted the attempt, and it has
// dropped the task. What may still be written late is a claim that nobody
// runs: repeats of the key are then answered with "may have run" without need, but
// nothing runs twice. The origin releases the claim by a later swap. It writes the
// release even where the claim is not in the log, for two reasons: the late swap
// then fails, and a claim that is still in flight to the partition owner finds the
// release and is refused. Only the origin of an attempt may release it: the
// partition owner can't know whether the origin has found the claim itself and sent
// the request.
//
// # What a refusal proves
//
// Every Refused and KeyReused answer proves that this attempt was not run and never
// will be. Whether an earlier attempt at the same key was run can't be found out
// while the service is down. Answer.Proof says which of the two is known: ProofKeyFree
// where the log, read after the request arrived, shows the key free, for example when
// the log is full; otherwise ProofAttemptNotRun. A caller that receives
// ProofAttemptNotRun may repeat the request under the same key, never under a new one.
//
// # Group commit
//
// The owner of a partition, chosen by rendezvous hash over the live entry hosts,
// collects claims and updates (finishes and releases) and writes at most one swap in
// each Options.SwapInterval for a partition on average; a partition that was idle
// writes at once. Updates wait up to Options.FinishDelay for a claim whose swap they
// can join. Other hosts forward to the owner, and write themselves when it does not
// answer within a share of the time to the request's deadline. Ownership only avoids
// contention: hosts that disagree about the owner lose swaps to each other, and each
// slows down. An owner that does not answer gets nothing for Options.OwnerBackoff.
//
// A host that stops sends Stopping, so that updates don't wait any more, and exits
// when the machine is Idle.
//
// # Bounds
//
// A log has at most MaxSealedSize bytes in sealed segments. When it is full, claims
// are refused until the oldest segment expires; a key is never dropped before its
// KeepUntil. Finishes and releases may still fill the head up to MaxFullHeadSize.
// Clocks of hosts may differ by ClockMargin, and KeepUntil must be later than the
// request's deadline by more than that.
//
// A page that can't be decoded, a missing segment or a head older than one seen
// before closes the partition: its claims are refused until the page is repaired.
// Where the service itself is restored to an older state, hosts that remember the
// newer one refuse; hosts that start afterwards can't know.
//
// # Usage
//
//	machine := claims.New(claims.Options{
//		Host: "brest-a-1",
//	})
//	for _, command := range machine.Step(now, event) {
//		switch command := command.(type) {
//		case claims.ReadPartition: // Get or List, then the event PageRead
//		case claims.SwapPartition: // Swap, then the event SwapAnswered
//		case claims.ForwardClaim: // gRPC to the owner, then ClaimForwarded
//		case claims.ForwardFinish: // gRPC to the owner, then UpdateForwarded
//		case claims.ForwardRelease: // the same
//		case claims.Answer: // to the sender of the event Claim
//		case claims.UpdateResult: // to the sender of the event Finish or Release
//		}
//	}
//	wakeAt := machine.NextTick() // send Tick then; zero: no need
//
// Every ReadPartition, SwapPartition and Forward command must be answered by one
// event, with an error where the call timed out: a partition has one call in flight
// and waits for it. The sender of a granted request must check its deadline once
// more before the first byte is sent. A retry after a release needs a new attempt id.
package claims
