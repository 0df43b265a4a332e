/*
 * One database group and the pools that run its failovers: fencing, promotion,
 * replication and the majority rule. The models floors, requests and replication
 * include this file.
 *
 * A remote call is one atomic step. A lost call is a step that is never taken. A lost
 * answer is a step that changes the instance but not the state of its caller. During a
 * pause or a partition, steps are not taken for a while; after the permanent loss of an
 * instance, its steps are never taken.
 *
 * The including file defines the macro CHECK_PROMOTED(i), which runs when instance
 * i has become primary.
 */

#ifndef TERMS
#define TERMS 4 /* greatest term */
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* restarts of a primary */
#endif

#define INSTANCES 3
#define MAJORITY 2

#ifdef PROMOTE_BEFORE_FENCED_MAJORITY
#define FENCES_NEEDED 1
#else
#define FENCES_NEEDED MAJORITY
#endif

#define LEN 6   /* entries a log can hold */
#define NO_ID 0 /* id of an opening entry, the first entry of a term */

typedef Instance {
	byte fence;     /* greatest term accepted; calls of lower terms are refused */
	byte lead;      /* term in which this instance is primary, or 0 */
	byte opening;   /* length of the log up to the opening entry of that term */
	byte size;      /* entries in the log */
	byte term[LEN]; /* term of each entry */
	byte id[LEN]    /* request id or kind of each entry */
};

Instance inst[INSTANCES];
byte newest = 1; /* greatest term with a promoted primary */
byte restarts = RESTARTS; /* restarts that are left */

#define LAST_TERM(i) inst[i].term[inst[i].size - 1]
#define IS_PRIMARY(i) (inst[i].lead != 0)
#define HAS_ROOM(i) (inst[i].size < LEN)

/* The log of instance i has an entry with id x; unused entries of a log are zero. */
#define HOLDS(i, x) \
	(inst[i].id[0] == x || inst[i].id[1] == x || inst[i].id[2] == x || \
	 inst[i].id[3] == x || inst[i].id[4] == x || inst[i].id[5] == x)

/*
 * Instance i must satisfy the promises made in term t. With the variants of the
 * majority rule, a write can be acknowledged in a later term than its entry's, so a
 * violation on an older primary is no evidence: only the primary of the greatest term
 * is checked.
 */
#if defined(OLD_TERM_COUNTED) || defined(FENCE_NOT_COMPARED)
#define JUDGED(i, t) (inst[i].lead > t && inst[i].lead == newest)
#else
#define JUDGED(i, t) (inst[i].lead > t)
#endif

/* The position of instance i is at or above (t, n); terms are compared before sizes. */
#ifdef FLOOR_WITHOUT_TERM
#define AT_OR_ABOVE(i, t, n) (inst[i].size >= n)
#else
#define AT_OR_ABOVE(i, t, n) \
	(LAST_TERM(i) > t || (LAST_TERM(i) == t && inst[i].size >= n))
#endif

/*
 * Instance i counts towards the majority of the position (t, n) that the primary p
 * reported. Its fence is compared as well as its position: a replica that follows a
 * later primary can still have an entry of an older term as its last one, and that
 * entry can be lost when another instance is promoted.
 */
#if defined(OLD_TERM_COUNTED)
#define HOLDS_ENTRY(i, t, n) (inst[i].size >= n && inst[i].term[n - 1] == t)
#define COUNTS(i, p, t, n) \
	(inst[i].fence == inst[p].lead && HOLDS_ENTRY(i, t, n) && HOLDS_ENTRY(p, t, n))
#elif defined(FENCE_NOT_COMPARED)
#define COUNTS(i, p, t, n) (LAST_TERM(i) == t && inst[i].size >= n)
#else
#define COUNTS(i, p, t, n) \
	(inst[i].fence == t && LAST_TERM(i) == t && inst[i].size >= n)
#endif

/* The primary p had (t, n) when it answered, so one more instance is a majority. */
#define MAJORITY_HOLDS(p, t, n) \
	((p != 0 && COUNTS(0, p, t, n)) || (p != 1 && COUNTS(1, p, t, n)) || \
	 (p != 2 && COUNTS(2, p, t, n)))

/* Instance i appends an entry in the term in which it is primary. */
inline append(i, x)
{
	inst[i].term[inst[i].size] = inst[i].lead;
	inst[i].id[inst[i].size] = x;
	inst[i].size++;
	printf("instance %d appends entry %d (term %d, id %d)\n",
		i, inst[i].size, inst[i].lead, x)
}

/* Selects any instance that takes itself for primary, including a replaced one. */
inline pick_primary(p)
{
	if
	:: IS_PRIMARY(0) && HAS_ROOM(0) -> p = 0
	:: IS_PRIMARY(1) && HAS_ROOM(1) -> p = 1
	:: IS_PRIMARY(2) && HAS_ROOM(2) -> p = 2
	fi
}

/* Instance i accepts term t, which is not below its fence, and is primary no longer. */
inline take_fence(i, t)
{
	inst[i].fence = t;
	inst[i].lead = 0;
	inst[i].opening = 0
}

/* Instance i becomes primary of term t if its fence is still t. */
inline promote(i, t)
{
	if
	:: inst[i].fence == t ->
		printf("instance %d is promoted at term %d\n", i, t);
		inst[i].lead = t;
		append(i, NO_ID);
		inst[i].opening = inst[i].size;
		if
		:: t > newest -> newest = t
		:: else
		fi;
		CHECK_PROMOTED(i)
	:: else ->
		printf("instance %d refuses promotion at term %d\n", i, t)
	fi
}

/* Truncates the log of instance i to k entries. */
inline cut(i)
{
	do
	:: inst[i].size > k ->
		inst[i].size--;
		inst[i].term[inst[i].size] = 0;
		inst[i].id[inst[i].size] = 0
	:: else -> break
	od;
	k = 0
}

/* Replica i truncates a suffix that differs from p's log, or copies p's next entry. */
inline pull(i, p)
{
	k = 0;
	do
	:: k < inst[i].size && k < inst[p].size && inst[i].term[k] == inst[p].term[k] -> k++
	:: else -> break
	od;
	if
	:: k < inst[i].size ->
		printf("instance %d follows %d and rewinds to entry %d\n", i, p, k);
		cut(i)
	:: else ->
		inst[i].term[k] = inst[p].term[k];
		inst[i].id[k] = inst[p].id[k];
		inst[i].size++;
		printf("instance %d pulls entry %d (term %d, id %d) from %d\n",
			i, inst[i].size, inst[i].term[k], inst[i].id[k], p);
		k = 0
	fi
}

#define CAN_FOLLOW(i, p) (IS_PRIMARY(p) && inst[p].lead > inst[i].fence)
#define CAN_PULL(i, p) \
	(IS_PRIMARY(p) && inst[p].lead == inst[i].fence && !IS_PRIMARY(i) && \
	 (LAST_TERM(i) != inst[p].term[inst[p].size - 1] || inst[i].size != inst[p].size))

#define FOLLOW_OR_PULL(i, p) \
	:: d_step { CAN_FOLLOW(i, p) -> \
		take_fence(i, inst[p].lead); \
		printf("instance %d follows %d at term %d\n", i, p, inst[i].fence) } \
	:: d_step { CAN_PULL(i, p) -> pull(i, p) }

#ifdef LOG_LOST_AT_RESTART
#define REOPEN(i) k = 1; cut(i); take_fence(i, 1)
#else
#define REOPEN(i) take_fence(i, inst[i].fence)
#endif

#define RESTART(i) \
	:: d_step { restarts > 0 && IS_PRIMARY(i) -> \
		printf("instance %d restarts\n", i); \
		restarts--; \
		REOPEN(i) }

/* Replicas follow a primary and pull its log; a primary may restart as a replica. */
proctype Replication()
{
	byte k;

end:	do
	FOLLOW_OR_PULL(0, 1)
	FOLLOW_OR_PULL(0, 2)
	FOLLOW_OR_PULL(1, 0)
	FOLLOW_OR_PULL(1, 2)
	FOLLOW_OR_PULL(2, 0)
	FOLLOW_OR_PULL(2, 1)
	RESTART(0)
	RESTART(1)
	RESTART(2)
	od
}

/* A pool fences instance i and keeps it as the successor if its log is the best. */
inline fence_counted(i)
{
	take_fence(i, t);
	printf("instance %d is fenced at term %d\n", i, t);
	fenced++;
	if
	:: fenced == 1 || LAST_TERM(i) > best_term ||
	   (LAST_TERM(i) == best_term && inst[i].size > best_size) ->
		best = i;
		best_term = LAST_TERM(i);
		best_size = inst[i].size
	:: else
	fi
}

inline forget_fenced()
{
	fenced = 0;
	best = 0;
	best_term = 0;
	best_size = 0
}

#define FENCE(i) \
	:: d_step { inst[i].fence < t -> fence_counted(i) } \
	:: d_step { inst[i].fence < t -> \
		take_fence(i, t); \
		printf("instance %d is fenced at term %d, answer lost\n", i, t) }

/*
 * A pool that acts as the owner of the group; there are two at the same time. Each
 * may start a failover at any term at any time, abandon it, and pause between any
 * two calls.
 */
proctype Pool()
{
	byte t = 1;
	byte fenced;
	byte best;
	byte best_term;
	byte best_size;

end:	do
	:: d_step { t < TERMS ->
		t++;
		forget_fenced();
		printf("pool turns to term %d\n", t)
	   }
	FENCE(0)
	FENCE(1)
	FENCE(2)
	:: d_step { fenced >= FENCES_NEEDED -> promote(best, t); forget_fenced() }
	od
}

#define START(i) \
	inst[i].fence = 1; \
	inst[i].size = 1; \
	inst[i].term[0] = 1

/* Instance 0 is primary of term 1; every log holds the opening entry of term 1. */
inline start_group()
{
	START(0);
	START(1);
	START(2);
	inst[0].lead = 1;
	inst[0].opening = 1;
	run Replication();
	run Pool();
	run Pool()
}
