/*
 * At most one run per key, and honest "not run".
 *
 * One key of a request that must not repeat. Lives of daemons that may run it: 0 is A, 1 is C,
 * 2 is A after a restart. An inquirer buries the key to find out whether it ran. Four VMs may be
 * witnesses; A uses {0,1,2}; C and the inquirer use the same set, or {0,1,3} when their VM list
 * has changed by one. Messages are lost (never delivered), duplicated (delivered again),
 * reordered and delayed for any time, also past the end of their sender. A pause is a life that
 * takes no step for a while, a partition is loss between some; both need no more than that.
 *
 * `late` means that the key's life has passed since its caller first sent it: registers are
 * forgotten then, and witnesses that abstained vote again.
 *
 * Guards, each with a mutant that leaves it out (-DNAME):
 *   QUORUM_ONE       one register is enough to run
 *   VOTE_AT_ONCE     a restarted witness votes at once
 *   NEW_VOTES        a VM that has just become a witness votes at once
 *   TRUST_ONESELF    "not run" is said by any life that did not run it
 *   CLAIM_AGAIN      a life that gave up claims the key again
 *   NO_DEADLINE      a life dispatches after the key's life, as one that was paused
 *   NO_AGE           "not run" is said after the key's life
 *   OWN_CLAIMS       an inquiry at C counts C's claims as dead while C may still run
 *   OVERWRITE        a register is not write-once
 */
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifdef QUORUM_ONE
#define QUORUM 1
#else
#define QUORUM 2
#endif

#ifdef NO_DEADLINE
#define MAY_DISPATCH true
#else
#define MAY_DISPATCH (!late)
#endif
#ifdef NO_AGE
#define MAY_PROVE true
#else
#define MAY_PROVE (!late)
#endif
#ifdef TRUST_ONESELF
#define PROVED(d) true
#else
#define PROVED(d) (BITS(seen[d]) >= QUORUM)
#endif

#define LIVES 3
#define VMS 4
#define EMPTY 0
#define TOMB 4 /* 1 to 3: claimed by life 0 to 2 */

#define IDLE 0
#define CLAIMING 1
#define RAN 2
#define GAVE_UP 3
#define GONE 4

byte cell[VMS];
bool abstains[VMS];
byte life[LIVES];
/* Bit w: the life saw its own claim at witness w or, once it has given up, a tombstone. */
byte seen[LIVES];
byte asker_seen; /* bit w: the inquirer saw a tombstone at witness w */
byte restarts;
byte runs;
bool said_not_run;
bool late;
bool changed;          /* C and the inquirer use {0,1,3} */

#define BITS(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
/* Whether w is a witness of the key for life d, and for the inquirer. */
#define IN_SET(w, other) ((w) < 2 || ((w) == 2 && !(other)) || ((w) == 3 && (other)))
#define WITNESS(d, w) IN_SET(w, changed && (d) == 1)
#define ASKED(w) IN_SET(w, changed)

inline deliver_claim(d, w) {
    atomic {
        if
        :: abstains[w] -> skip
#ifdef OVERWRITE
        :: !abstains[w] -> cell[w] = d + 1
#else
        :: !abstains[w] && cell[w] == EMPTY -> cell[w] = d + 1
        :: !abstains[w] && cell[w] != EMPTY -> skip
#endif
        fi;
        if
        :: !abstains[w] && cell[w] == d + 1 && (life[d] == CLAIMING || life[d] == GAVE_UP) ->
            seen[d] = seen[d] | (1 << w)
        :: skip /* the reply is lost */
        fi
    }
}

inline deliver_bury(w) {
    if
    :: !abstains[w] && cell[w] == EMPTY -> cell[w] = TOMB
    :: else -> skip
    fi
}

active proctype everything() {
    byte d, w;
    if
    :: changed = true;
#ifndef NEW_VOTES
       abstains[3] = true
#endif
    :: changed = false
    fi;
    do
    /* A caller sends the key to a life, again and anywhere. */
    :: atomic {
        select(d : 0 .. 2);
        if
        :: life[d] == IDLE && (d != 2 || life[0] == GONE) -> life[d] = CLAIMING
#ifdef CLAIM_AGAIN
        :: life[d] == GAVE_UP -> life[d] = CLAIMING
#endif
        :: else -> skip
        fi;
        d = 0; w = 0
       }
    /* A claim arrives, late or again: any life that ever claimed may have one under way. */
    :: atomic {
        select(d : 0 .. 2);
        select(w : 0 .. 3);
        if
        :: life[d] != IDLE && WITNESS(d, w) -> deliver_claim(d, w)
        :: else -> skip
        fi;
        d = 0; w = 0
       }
    /* A life gives up, and buries the other registers. */
    :: atomic {
        select(d : 0 .. 2);
        if
        :: life[d] == CLAIMING -> life[d] = GAVE_UP
        :: else -> skip
        fi;
        d = 0; w = 0
       }
    :: atomic {
        select(d : 0 .. 2);
        select(w : 0 .. 3);
        if
        :: life[d] == GAVE_UP && WITNESS(d, w) ->
            deliver_bury(w);
            if
            :: !abstains[w] && (cell[w] == TOMB || cell[w] == d + 1) -> seen[d] = seen[d] | (1 << w)
            :: skip
            fi
        :: else -> skip
        fi;
        d = 0; w = 0
       }
    /* The inquirer buries. */
    :: atomic {
        select(w : 0 .. 3);
        if
        :: ASKED(w) ->
            deliver_bury(w);
            if
            :: !abstains[w] && cell[w] == TOMB -> asker_seen = asker_seen | (1 << w)
#ifdef OWN_CLAIMS
            :: !abstains[w] && cell[w] == 2 -> asker_seen = asker_seen | (1 << w)
#endif
            :: skip
            fi
        :: else -> skip
        fi;
        d = 0; w = 0
       }
    /* A life dispatches. */
    :: atomic {
        select(d : 0 .. 2);
        if
        :: life[d] == CLAIMING && BITS(seen[d]) >= QUORUM && MAY_DISPATCH ->
            assert(runs == 0);
            assert(!said_not_run);
            runs++;
            life[d] = RAN;
            seen[d] = 0
        :: else -> skip
        fi;
        d = 0; w = 0
       }
    /* A life that gave up says "not run". */
    :: atomic {
        select(d : 0 .. 2);
        if
        :: life[d] == GAVE_UP && PROVED(d) && MAY_PROVE ->
            assert(runs == 0);
            said_not_run = true
        :: else -> skip
        fi;
        d = 0; w = 0
       }
    /* The inquirer says "not run". */
    :: atomic {
        BITS(asker_seen) >= QUORUM && MAY_PROVE ->
        assert(runs == 0);
        said_not_run = true
       }
    /* A ends, with all that it knew; its VM may start again as life 2. */
    :: atomic { life[0] != IDLE && life[0] != GONE -> life[0] = GONE; seen[0] = 0 }
    /* A witness ends and starts again, with its registers gone. */
    :: atomic {
        restarts < RESTARTS ->
        restarts++;
        select(w : 0 .. 3);
        cell[w] = EMPTY;
#ifndef VOTE_AT_ONCE
        abstains[w] = true;
#endif
        d = 0; w = 0
       }
    /* The key's life passes. */
    :: atomic {
        !late ->
        late = true;
        cell[0] = EMPTY; cell[1] = EMPTY; cell[2] = EMPTY; cell[3] = EMPTY;
        abstains[0] = false; abstains[1] = false; abstains[2] = false; abstains[3] = false;
        /* From here on nothing is dispatched or said any more, unless a guard is left out. */
        if
        :: !MAY_DISPATCH && !MAY_PROVE -> break
        :: else -> skip
        fi
       }
    od
}
