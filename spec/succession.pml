/*
 * The choice of the replica to promote. A host acknowledges a commit to its callers
 * once one replica has it. The promoter pauses the replicas, asks for their log ends
 * and chooses the successor; the host or one replica may not answer. The host may start
 * again, and forgets what it acknowledged; replica 1 may be gone for good.
 */

#define REPLICAS 2

bool acked_write_lost; /* the promoted replica lacks an acknowledged commit */

byte log_size[REPLICAS]; /* commits that each replica has received */
bool paused[REPLICAS];
byte committed;          /* commits at the primary */
bool primary_up = true;
byte acked;              /* commits that were acknowledged to callers */
byte known;              /* acked as far as the host remembers */
byte covered;            /* a log end of the primary that the host answers for */
bool listed_ended;       /* a run of the host has ended, and nobody answers for it */
byte reported;           /* what the host reported when it relinquished */
bool host_gave_up;       /* the host has relinquished the primary */
bool gone;               /* replica 1 is gone, and its log with it */
bool member = true;      /* replica 1 is a member by the store */
byte chosen = 255;       /* replica that is promoted, or 255 for none yet */

#define HELD_BY_SOME(n) (log_size[0] >= (n) || log_size[1] >= (n))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

proctype Primary()
{
end:	do
	:: atomic { primary_up && committed < 2 -> committed++ }
	:: atomic { primary_up -> primary_up = false }
	od
}

proctype Replication()
{
end:	do
	:: atomic { primary_up && !paused[0] && log_size[0] < committed -> log_size[0]++ }
	:: atomic { primary_up && !gone && !paused[1] && log_size[1] < committed ->
		log_size[1]++ }
	od
}

proctype Host()
{
	bool restarted;
	byte end_read;

end:	do
	:: atomic { primary_up && acked < committed && HELD_BY_SOME(acked + 1) &&
#ifdef LATE_SUCCESS_TOLD
		chosen == 255 ->
#else
		!host_gave_up ->
#endif
		acked++; known = acked }
#ifdef END_READ_BEFORE
	:: atomic { primary_up && !restarted -> end_read = committed }
#endif
	:: atomic { !restarted && !host_gave_up ->
		restarted = true; known = 0; listed_ended = true }
#ifdef END_READ_BEFORE
	:: atomic { listed_ended -> covered = end_read; listed_ended = false }
#else
	:: atomic { listed_ended && primary_up && !host_gave_up ->
		covered = committed; listed_ended = false }
#endif
	:: atomic { !host_gave_up ->
		host_gave_up = true; reported = MAX(known, covered) }
	od
}

/* Drops replica 1 from the members once the other one has what it may have confirmed. */
proctype Members()
{
	byte end_read;

end:	atomic { gone = true };
end_reading:
#ifndef LAPSED_REPLICA_FORGOTTEN
	atomic { primary_up -> end_read = committed };
end_catching_up:
	atomic { log_size[0] >= end_read -> member = false }
#else
	member = false
#endif
}

/* Chooses the replica with the longest log; replica 1 may not answer. */
proctype Promoter()
{
	byte best;
	bool both;

end:	paused[0] = true;
	if
	:: atomic { !gone -> paused[1] = true; both = true }
	:: true
	fi;
	best = (both && log_size[1] > log_size[0] -> 1 : 0);
end_choosing:
	if
	:: both -> chosen = best
	:: !member -> chosen = 0
#ifdef SILENT_HOST_IGNORED
	:: chosen = 0
#endif
#ifdef FORGOTTEN_COMMITS_IGNORED
	:: atomic { host_gave_up && log_size[0] >= reported -> chosen = 0 }
#else
	:: atomic { host_gave_up && !listed_ended && log_size[0] >= reported ->
		chosen = 0 }
#endif
	fi;
	d_step {
		acked_write_lost = log_size[chosen] < acked;
		assert(!(acked_write_lost))
	}
}

init
{
	atomic {
		run Primary();
		run Replication();
		run Host();
		run Members();
		run Promoter()
	}
}
