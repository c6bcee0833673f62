// Package claims decides whether a request that may not be repeated may be
// sent to a backend server, so that it runs at most once while entry hosts die,
// freeze and forget, and the key-value service loses answers.
//
// # What is kept, and where
//
// A request is known by its team and its caller's idempotency key. Keys are
// spread by hash over a fixed number of partitions. A partition is a log in the
// key-value service: its newest entries stand in the head
// (/cicadaloom/claims/<partition>/head), older ones in sealed segments
// (/cicadaloom/claims/<partition>/segment/<n>) that never change and are deleted
// when all their entries are past KeepUntil. Whatever changes, it changes in one
// swap that compares the head's revision. Replaying the log gives the state of
// each key: absent, claimed, finished, or released.
//
// # Why at most once holds
//
// The revision of the head is the fence. A host grants an attempt only after it
// knows that the page holding that attempt's claim is written, and a claim is
// written only onto a log, at a known revision, in which the key is free. Two
// hosts that judge the same key free compare the same revision, so one of the
// swaps fails as a whole. This needs no lease, no clock and no agreement on who
// is home: a host that was frozen for a day holds an old revision, and its swap
// fails. The revision of a head never comes back, since a head is never deleted.
//
// A grant is an answer of the machine of the attempt's origin, the host at which
// the caller waits, given at most once for each attempt. Any number of hosts may
// carry out a claim for the origin: they all write the same attempt id, and
// finding one's own attempt id in the log is as good as having written it.
//
// # Swaps of which the outcome is unknown
//
// Such a swap may have taken effect, or may yet: while nothing newer is written
// its compare still holds. The machine reads the head again. A claim that it
// finds there is granted. One that it does not find is written again onto the
// revision that was read: if the earlier swap lands first, this one fails and
// the next reading shows the claim; if this one lands, the earlier one is dead.
// Either way nothing is granted before the claim has been seen in the log.
//
// A claim whose caller stopped waiting meanwhile is refused at once. That
// refusal is true without a fence, since only this machine could have granted
// the attempt and it has just forgotten how. What may land late is a claim that
// nobody runs: it makes repeats of the key read "may have run" without cause,
// which harms nobody twice. The origin releases it by a later swap; this release
// is written even where the claim isn't seen, both as a fence against the late
// swap and as a mark that a claim still on its way to the home must not pass.
// Only the origin of an attempt may release it: the home can't know whether the
// origin has found the claim by itself and sent the request.
//
// # What a refusal proves
//
// Every Refused and KeyReused answer proves that this attempt was not run and
// never will be. Whether an earlier attempt at the same key was run is another
// question, which can't be answered while the service is down. Answer.Proof
// says which of the two is known: ProofKey where the log, read after the request
// came in, shows the key free, as at the bound; otherwise ProofAttempt. A caller that reads
// ProofAttempt may repeat the request under the same key, never under a new one.
//
// # Group commit
//
// The home of a partition, chosen by rendezvous hash over the live entry hosts,
// collects claims and finishes and writes on average at most one swap in each
// Options.Pace for a partition; a partition that has been idle writes at once.
// Finishes wait for a claim that takes them along, up to Options.FinishDelay.
// Other hosts forward to the home, and swap themselves when it doesn't answer
// within a share of the request's deadline. The home only avoids contention:
// hosts that disagree about it lose swaps to each other, and each slows down. A
// home that doesn't answer isn't asked for Options.HomeSilence.
//
// A host that stops sends Stopping, so that finishes don't wait any more, and
// goes when Idle.
//
// # Bounds
//
// A log holds at most LogSize bytes in sealed segments. At the bound claims are
// refused until the oldest segment lapses; a key is never forgotten before its
// KeepUntil. Finishes may still grow the head up to ReserveSize. Clocks of hosts
// may differ by ClockMargin, and KeepUntil must lie further than that after the
// request's deadline.
//
// A page that can't be read, a missing segment or a head older than one seen
// before closes the partition: its claims are refused until the page is mended.
// Where the service itself is put back to an older state, hosts that remember the
// newer one refuse; hosts that start after it can't know.
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
//		case claims.ForwardClaim: // gRPC to the home, then ClaimForwarded
//		case claims.ForwardFinish: // gRPC to the home, then NoteForwarded
//		case claims.ForwardRelease: // the same
//		case claims.Answer: // to whoever sent the event Claim
//		case claims.Recorded: // to whoever sent the event Finish or Release
//		}
//	}
//	wakeAt := machine.NextTick() // send Tick then; zero: no need
//
// Every ReadPartition, SwapPartition and Forward command must be answered by one
// event, with an error where the call timed out: a partition has one call under
// way and waits for it. The sender of a granted request must look at its deadline
// once more before the first byte leaves. After a release a new try needs a new
// attempt id.
package claims
