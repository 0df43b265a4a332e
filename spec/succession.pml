/*
 * The choice of the replica to promote. The primary acknowledges a commit once one
 * replica holds it, whether or not the host reads the answer. The host stops sending
 * commits, then reports the highest position whose answer it read and whether a commit
 * is unanswered. The promoter waits for the report, fences the replicas, reads their
 * log ends and chooses. The host, the old primary or one replica may not answer it. The
 * host may start again, and forgets what it has seen; replica 1 may be gone for good.
 *
 * A step that is not taken stands for a crash, a paused process, a network partition or
 * a lost message.
 */

#define REPLICAS 2
#define SLOTS 3 /* room for the commits */
#ifndef COMMITS
#define COMMITS 2
#endif
#ifndef STARTS
#define STARTS 2 /* restarts of the host */
#endif
#define NONE 255

/* Who waits for the answer to a commit. */
#define NOBODY 0 /* it was not sent, or its outcome was read */
#define HOST 1   /* the host, on an open connection */
#define LOST 2   /* nobody, as the host has lost the connection */
#define ENDED 3  /* nobody, as the run of the host that sent it has ended */

/* A commit that the old primary acknowledged is missing at the promoted replica. */
bool acked_write_lost;

/* The commits, in the order in which they are sent. */
byte sent;
byte waiting[SLOTS];   /* who waits for the answer */
bool running[SLOTS];   /* the statement may still enter the primary's log */
bool settles[SLOTS];   /* it was sent when all lost statements had ended */
byte position[SLOTS];  /* its place in the log while the host waits for it, or 0 */

/* The old primary and the replicas. */
bool leads = true;       /* the old primary has not stepped down */
byte committed;          /* the log end of the old primary */
byte acked;              /* commits that it has acknowledged */
byte log_size[REPLICAS]; /* commits that each replica has received */
bool fenced[REPLICAS];
bool gone;               /* replica 1 is gone, and its log with it */
bool member = true;      /* replica 1 is a member by the store */

/* The present run of the host. */
byte known;              /* the highest position whose answer it has read */
byte covered;            /* a log end of the primary, for a run that has ended */
bool doubt;              /* it lost a connection on which a commit was unanswered */
bool listed_ended;       /* a run of the host has ended, and nobody answers for it */

/* The host's report. */
bool relinquished;
byte reported;           /* no commit whose answer was read is above it */
bool answered;           /* no commit is unanswered */

bool host_left_out;      /* the promoter goes on without the host's report */
byte chosen = NONE;      /* the replica that is promoted */

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define HELD_BY_SOME(n) (log_size[0] >= (n) || log_size[1] >= (n))
#define RUNS_FOR(k, party) (running[k] && waiting[k] == (party))
#define NONE_RUNS_FOR(party) \
	!(RUNS_FOR(0, party) || RUNS_FOR(1, party) || RUNS_FOR(2, party))
#define NONE_PENDING \
	(waiting[0] != HOST && waiting[1] != HOST && waiting[2] != HOST)
/* What the host reads, loses or reports later has no effect. */
#define BEFORE_CHOICE (chosen == NONE)

/* Faulty: the report says that no commit is unanswered, whatever the host has read. */
#ifdef UNANSWERED_NOT_COUNTED
#define ALL_ANSWERED true
#else
#define ALL_ANSWERED (NONE_PENDING && !doubt)
#endif

/* Faulty: the host sends commits after its report. */
#ifdef SENT_AFTER_REPORT
#define MAY_SEND true
#else
#define MAY_SEND (!relinquished)
#endif

/* Faulty: a success that is read after the report counts as told; no report names it. */
#ifdef LATE_SUCCESS_TOLD
#define MAY_RAISE (!relinquished)
#else
#define MAY_RAISE true
#endif

/* Faulty: a later commit ends the doubt while the statement of a lost one still runs. */
#ifdef DOUBT_ENDED_AT_ONCE
#define LOST_HAVE_ENDED true
#else
#define LOST_HAVE_ENDED NONE_RUNS_FOR(LOST)
#endif

/* Faulty: an ended run is answered for while its last statements still run. */
#ifdef ANSWERED_FOR_AT_ONCE
#define LAST_HAVE_ENDED true
#else
#define LAST_HAVE_ENDED NONE_RUNS_FOR(ENDED)
#endif

/* Faulty: an ended run for which nobody answers is taken to have seen nothing. */
#ifdef FORGOTTEN_COMMITS_IGNORED
#define ENDED_COVERED true
#else
#define ENDED_COVERED (!listed_ended)
#endif

/*
 * Faulty: an earlier holder that has not reported ends a fence after the promoter has
 * stopped waiting for it.
 */
#ifdef SILENT_HOLDER_RESUMES
#define MAY_RESUME (!relinquished)
#else
#define MAY_RESUME (!relinquished && !host_left_out)
#endif

/* The highest position that was reported, whether or not a commit is unanswered. */
#define HIGHEST_REPORTED (relinquished && ENDED_COVERED -> reported : NONE)

/* Commits that the primary acknowledges after the choice count, too. */
inline check_loss()
{
	acked_write_lost = chosen != NONE && log_size[chosen] < acked;
	assert(!(acked_write_lost))
}

/* One commit: the statement at the primary, and its answer on the way to the host. */
proctype Commit(byte k)
{
	byte i;

end:	do
	:: atomic { running[k] && leads ->
		running[k] = false; committed++;
		position[k] = (waiting[k] == HOST -> committed : 0) }
	:: atomic { running[k] ->  /* refused, or dropped with its connection */
		running[k] = false;
		waiting[k] = (waiting[k] == HOST -> NOBODY : waiting[k]) }
	:: d_step { BEFORE_CHOICE && waiting[k] == HOST &&
		position[k] > 0 && position[k] <= acked ->
		waiting[k] = NOBODY;   /* the host reads the answer */
		known = (MAY_RAISE -> MAX(known, position[k]) : known);
		position[k] = 0;
		doubt = doubt && !settles[k];
		settles[k] = false }
	:: d_step { BEFORE_CHOICE && waiting[k] == HOST ->
		waiting[k] = LOST;
		position[k] = 0;
		doubt = true;
		for (i : 0 .. COMMITS - 1) { settles[i] = false };
		i = 0 }
	od
}

proctype Primary()
{
end:	do
	:: atomic { leads && acked < committed && HELD_BY_SOME(acked + 1) ->
		acked++; check_loss() }
	:: atomic { leads && !fenced[0] && log_size[0] < committed -> log_size[0]++ }
	:: atomic { leads && !gone && !fenced[1] && log_size[1] < committed ->
		log_size[1]++ }
	od
}

inline report()
{
	reported = MAX(known, covered);
	answered = ALL_ANSWERED
}

proctype Host()
{
	byte i;
	byte starts;
	byte end_read;

end:	do
	:: d_step { sent < COMMITS && MAY_SEND ->
		waiting[sent] = HOST;
		running[sent] = true;
		settles[sent] = doubt && LOST_HAVE_ENDED;
		sent++ }
#ifdef END_READ_BEFORE  /* Faulty: the log end was read before the run ended. */
	:: atomic { leads && starts == 0 -> end_read = committed }
#endif
	:: d_step { BEFORE_CHOICE && starts < STARTS && !relinquished ->
		starts++;
		known = 0; covered = 0; doubt = false; listed_ended = true;
		for (i : 0 .. COMMITS - 1) {
			settles[i] = false;
			position[i] = 0;
			waiting[i] = (waiting[i] == NOBODY -> NOBODY : ENDED)
		};
		i = 0 }
#ifdef END_READ_BEFORE
	:: atomic { listed_ended -> covered = end_read; listed_ended = false }
#else
	:: atomic { BEFORE_CHOICE && listed_ended && leads && !relinquished && LAST_HAVE_ENDED ->
		covered = committed; listed_ended = false }
#endif
	:: d_step { BEFORE_CHOICE && !relinquished -> relinquished = true; report() }
	:: d_step { BEFORE_CHOICE && relinquished &&  /* an answer that was read later changes the report */
		(reported != MAX(known, covered) || answered != ALL_ANSWERED) ->
		report() }
	od
}

/* An earlier holder that found no successor ends fences, until it has reported. */
proctype EarlierHolder()
{
end:	do
	:: atomic { MAY_RESUME && fenced[0] -> fenced[0] = false }
	:: atomic { MAY_RESUME && fenced[1] -> fenced[1] = false }
	od
}

/* Drops replica 1 from the members once the other one has what it may have confirmed. */
proctype Members()
{
	byte end_read;

end:	atomic { gone = true };
end_reading:
#ifndef LAPSED_REPLICA_FORGOTTEN  /* Faulty: it is dropped at once. */
	atomic { leads -> end_read = committed };
end_catching_up:
	atomic { log_size[0] >= end_read -> member = false; end_read = 0 }
#else
	member = false
#endif
}

/* Fences the replicas that answer, and reads their log ends. */
inline fence()
{
	atomic { fenced[0] = true; received[0] = log_size[0] };
	if
	:: atomic { !gone -> fenced[1] = true; received[1] = log_size[1]; both = true }
	:: true
	fi
}

inline wait_for_report()
{
	if
	:: relinquished
	:: host_left_out = true  /* its read leases have ended */
	fi
}

/* Finds a position that no acknowledged commit exceeds, or NONE. */
inline find_limit()
{
	limit = (relinquished && answered && ENDED_COVERED -> reported : NONE);
#ifdef LOWER_END_TAKEN  /* Faulty: the lower of the log end and the reports. */
	limit = (log_end == NONE -> limit : MIN(log_end, HIGHEST_REPORTED))
#else
	limit = (log_end == NONE -> limit : log_end)
#endif
}

/* Whether some replica that answered is certain to hold every acknowledged commit. */
#define CERTAIN (both || !member || limit <= furthest)

proctype Promoter()
{
	byte log_end = NONE; /* of the old primary after it stepped down */
	byte received[REPLICAS];
	bool both;           /* replica 1 has answered, too */
	byte limit;
	byte furthest;
	byte needed;

end:	do
	:: if
	   :: atomic { leads = false; log_end = committed }
	   :: true              /* the old primary doesn't answer */
	   fi;
#ifdef FENCED_BEFORE_REPORTS  /* Faulty: log ends are read before the report. */
	   fence();
end_waiting:
	   wait_for_report();
#else
end_waiting:
	   wait_for_report();
	   fence();
#endif
	   atomic {
		find_limit();
		furthest = (both && received[1] > received[0] -> received[1] : received[0]);
		needed = MIN(limit, furthest);
		if
		:: CERTAIN && received[0] >= needed -> chosen = 0
		:: CERTAIN && both && received[1] >= needed -> chosen = 1
#ifdef SILENT_HOST_IGNORED  /* Faulty: no limit is known, and replica 1 is silent. */
		:: chosen = 0
#endif
		:: !CERTAIN ->  /* the fences are ended, and the promoter tries again */
			fenced[0] = false; fenced[1] = false
		fi;
		received[0] = 0; received[1] = 0; both = false;
		log_end = NONE; limit = 0; furthest = 0; needed = 0;
		check_loss();
		if
		:: chosen != NONE -> break
		:: else
		fi
	   }
	od
}

init
{
	byte k;

	atomic {
		for (k : 0 .. COMMITS - 1) { run Commit(k) };
		k = 0;
		run Primary();
		run Host();
		run EarlierHolder();
		run Members();
		run Promoter()
	}
}
