/*
 * A configuration that passes from the store through a watcher to a follower, apart from
 * the other changes. The watcher hears of a configuration with the store's changes and
 * puts it in force later. The follower hears of it from the watcher, and asks it for the
 * difference from its own version, or reads the store. Answers are delayed or lost, and
 * the follower may put another version in force while one is under way.
 *
 * Each of the versions changes one field of the content, so that the difference between
 * two versions leaves out what they have in common. The store may return once from an
 * older copy: a new epoch begins, and it has an older version until the operator writes
 * again. The follower may restart, and then has neither a version nor a proof.
 *
 * A revision is the epoch and the store's number. It proves that a host has every
 * configuration that the store acknowledged up to it, or a greater one.
 */

#define VERSIONS 3
#define EPOCH 16
#ifdef OLDER_COUNTS
#define IS_ANSWER true
#define ANSWERED asked_revision
#else
#define IS_ANSWER (proven >= asked_revision)
#define ANSWERED proven
#endif
#define FIRST(v) ((v) >= 2 -> 2 : 1)  /* the fields of the content of a version */
#define SECOND(v) ((v) >= 3 -> 3 : 1)

bool proof_untrue;  /* a revision proves a version that is not in force */
bool wrong_content; /* the content in force is not that of its version */
bool went_back;     /* a lower version came into force */

/* The store: its revision, the configuration, and the revision of that. */
byte revision = 1;
byte version = 1;
byte written_at = 1;
byte last_version = 1;
byte copy_revision = 1;
byte copy_version = 1;
byte copy_written_at = 1;
bool returned;

/* The watcher: what it has heard of, what is in force, and what that proves. */
byte w_heard;
byte w_awaited;
byte w_version;
byte w_proven;

/* The follower. */
byte f_heard;
byte f_awaited;
byte f_version;
byte f_proven;
byte f_first;
byte f_second;

/* The answer under way: the version, the base, and the revision that it proves. */
byte a_version;
byte a_base;
byte a_proven;
/* What the follower had in force when it asked, and the revision that it asked for. */
byte asked_base;
byte asked_first;
byte asked_second;
byte asked_revision;
bool asked;
bool answered;

inline check()
{
	if
	:: f_proven >= written_at && f_version < version -> proof_untrue = true
	:: w_proven >= written_at && w_version < version -> proof_untrue = true
	:: else
	fi;
	assert(!(proof_untrue));
	if
	:: f_version > 0 && (f_first != FIRST(f_version) ||
		f_second != SECOND(f_version)) -> wrong_content = true
	:: else
	fi;
	assert(!(wrong_content));
	assert(!(went_back))
}

proctype Store()
{
end:	do
	:: d_step { last_version < VERSIONS ->
		last_version++;
		revision++;
		version = last_version;
		written_at = revision }
	:: d_step { copy_revision < revision && !returned ->
		copy_revision = revision;
		copy_version = version;
		copy_written_at = written_at }
	:: d_step { !returned && copy_revision < revision ->
		returned = true;
		revision = EPOCH + copy_revision;
		version = copy_version;
		written_at = EPOCH + copy_written_at }
	od
}

/* Reads the store's changes, and puts the configuration in force in a later step. */
proctype Watcher()
{
end:	do
	:: atomic { w_heard < revision ->
		w_heard = revision;
		w_awaited = version;
		check() }
	:: atomic { w_proven < w_heard ->
		if
		:: w_awaited > w_version -> w_version = w_awaited
		:: else
		fi;
		w_proven = w_heard;
		check() }
	od
}

/* Sends the configuration in force to the follower, as the difference from a version. */
proctype Sender()
{
	byte base;
	byte proven;

end:	do
	:: atomic { asked && !answered && w_version > 0 ->
#ifdef REVISION_READ_LAST
		a_version = w_version
#else
		proven = w_proven
#endif
		};
end_reading:
		atomic {
#ifdef REVISION_READ_LAST
		proven = w_proven;
#else
		a_version = w_version;
#endif
		if
		:: !asked || !IS_ANSWER -> skip
		:: asked && IS_ANSWER ->
			/* An answer to an earlier question may have another base. */
			if
			:: a_base = 0
			:: w_version > 1 -> a_base = w_version - 1
			:: asked_base < w_version -> a_base = asked_base
			fi;
			a_proven = ANSWERED;
			answered = true
		fi;
		proven = 0 }
	od
}

/* Puts a version with its content in force, unless it is not greater. */
inline put_in_force(new_version, new_first, new_second)
{
#ifdef LOWER_TAKEN
	if
	:: new_version < f_version -> went_back = true
	:: else
	fi;
	f_version = new_version;
	f_first = new_first;
	f_second = new_second
#else
	if
	:: new_version > f_version ->
		f_version = new_version;
		f_first = new_first;
		f_second = new_second
	:: else
	fi
#endif
}

proctype Follower()
{
	byte first;
	byte second;
	bool restarted;

end:	do
	/* Hears of the changes that the watcher has heard of. */
	:: atomic { f_heard < w_heard ->
		f_heard = w_heard;
#ifdef REVISION_FIRST
		f_proven = f_heard;
#endif
		check() }
	:: atomic { f_proven < f_heard && !asked ->
		asked = true;
		asked_revision = f_heard;
		asked_base = f_version;
		asked_first = f_first;
		asked_second = f_second }
	/* The watcher ended, or the link broke. */
	:: atomic { asked -> asked = false; answered = false }
	/* The whole answer arrived; its base is compared. */
	:: atomic { answered ->
#ifdef BASE_NOT_CHECKED
		if
		:: true ->
#else
		if
		:: a_base != 0 && a_base != asked_base -> skip
		:: a_base == 0 || a_base == asked_base ->
#endif
			first = (a_base != 0 && FIRST(a_base) == FIRST(a_version)
				-> asked_first : FIRST(a_version));
			second = (a_base != 0 && SECOND(a_base) == SECOND(a_version)
				-> asked_second : SECOND(a_version));
			put_in_force(a_version, first, second);
			f_proven = (a_proven > f_proven -> a_proven : f_proven)
		fi;
		asked = false;
		answered = false;
		first = 0;
		second = 0;
		check() }
	/* Reads the store itself. */
	:: atomic { f_proven < f_heard && f_heard <= revision ->
		put_in_force(version, FIRST(version), SECOND(version));
		f_proven = revision;
		check() }
	:: atomic { !restarted ->
		restarted = true;
		f_heard = 0;
		f_proven = 0;
		f_version = 0;
		f_first = 0;
		f_second = 0;
		asked = false;
		answered = false }
	od
}

init
{
	atomic {
		run Store();
		run Watcher();
		run Sender();
		run Follower()
	}
}
