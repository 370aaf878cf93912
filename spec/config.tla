------------------------------- MODULE config -------------------------------
(* Two operators change one configuration, and two routers apply it.         *)
(*                                                                           *)
(* An operator reads the newest version it can reach and publishes a change  *)
(* based on it. Its append lands late, or twice since its answer was lost,   *)
(* or never. Routers read the log in order, or start over from a peer, and   *)
(* pass versions on to each other, in any order and late.                    *)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Puts,       \* how many changes are published
    BaseRule,   \* a change counts only if it is based on the newest version
    HigherRule  \* a router applies only a higher version than its own

VARIABLES
    pos,        \* how many records the log has
    version,    \* the newest version: the offset after the record that made it
    puts,       \* the changes: their base, and how often they landed
    applied,    \* the version that each router applies
    relayed,    \* versions on their way between routers
    lost,       \* whether a change replaced one that its author had not seen
    fell        \* whether a router went back

vars == <<pos, version, puts, applied, relayed, lost, fell>>

Routers == {1, 2}

Init ==
    /\ pos = 0
    /\ version = 0
    /\ puts = {}
    /\ applied = [r \in Routers |-> 0]
    /\ relayed = {}
    /\ lost = FALSE
    /\ fell = FALSE

(* An operator may have read any router's version, however old. *)
Publish(r) ==
    /\ Cardinality(puts) < Puts
    /\ puts' = puts \cup {[id |-> Cardinality(puts) + 1, base |-> applied[r], landed |-> 0]}
    /\ UNCHANGED <<pos, version, applied, relayed, lost, fell>>

Land(p) ==
    /\ p.landed < 2
    /\ puts' = (puts \ {p}) \cup {[p EXCEPT !.landed = @ + 1]}
    /\ pos' = pos + 1
    /\ LET good == BaseRule => p.base = version IN
        /\ version' = IF good THEN pos + 1 ELSE version
        /\ lost' = (lost \/ (good /\ p.base # version))
    /\ UNCHANGED <<applied, relayed, fell>>

Apply(r, v) ==
    /\ HigherRule => v > applied[r]
    /\ applied' = [applied EXCEPT ![r] = v]
    /\ fell' = (fell \/ v < applied[r])
    /\ relayed' = relayed \cup {v}
    /\ UNCHANGED <<pos, version, puts, lost>>

Next ==
    \/ \E r \in Routers : Publish(r)
    \/ \E p \in puts : Land(p)
    \/ \E r \in Routers : Apply(r, version)
    \/ \E r \in Routers : \E v \in relayed : Apply(r, v)

(* Of two operators who change the same version, one wins and the other is told. *)
InvNoLostChange == ~lost

(* A configuration in force never reverts. *)
InvNeverFalls == ~fell

(* No router applies what the log has not accepted. *)
InvAccepted == \A r \in Routers : applied[r] <= version
=============================================================================
