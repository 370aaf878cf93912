----------------------------- MODULE checkpoint -----------------------------
(* A ledger's log that lets old records go, and checkpoints of two parts     *)
(* that two routers write, die over and announce.                            *)
(*                                                                           *)
(* Parts stand in a stream of their own, which lets old records go as well.  *)
(* A fresh router must at each moment find a whole checkpoint and every      *)
(* record of the ledger behind it.                                           *)
EXTENDS Naturals, Sequences

CONSTANTS
    Records,    \* how long the ledger grows
    Parts,      \* how long the checkpoints' stream grows
    WholeRule,  \* a checkpoint is announced only when both its parts were read back
    NewerRule,  \* an older checkpoint does not replace a newer one that was announced
    OrderRule,  \* nor does one whose parts stand before those of the announced one
    KeepRule    \* nothing is let go but what stands before the announced checkpoint

VARIABLES
    ledger,     \* how many records the ledger has
    kept,       \* the first record of it that is kept
    stream,     \* the checkpoints' parts, in order
    from,       \* the first part that is kept
    writing,    \* what each router has written so far
    announced   \* the checkpoint that the ledger names

vars == <<ledger, kept, stream, from, writing, announced>>

Routers == {1, 2}
None == [asof |-> 0, first |-> 0, parts |-> 0]

Init ==
    /\ ledger = 0
    /\ kept = 1
    /\ stream = <<>>
    /\ from = 1
    /\ writing = [r \in Routers |-> None]
    /\ announced = [asof |-> 0, first |-> 0]

Length == Len(stream)

Grow ==
    /\ ledger < Records
    /\ ledger' = ledger + 1
    /\ UNCHANGED <<kept, stream, from, writing, announced>>

(* A router begins a checkpoint of what it has folded, which may be old, and perhaps leaves another one half-written:
   it died, or started anew. *)
Begin(r, v) ==
    /\ Length < Parts
    /\ stream' = Append(stream, v)
    /\ writing' = [writing EXCEPT ![r] = [asof |-> v, first |-> Length + 1, parts |-> 1]]
    /\ UNCHANGED <<ledger, kept, from, announced>>

Finish(r) ==
    /\ Length < Parts
    /\ writing[r].parts = 1
    /\ stream' = Append(stream, writing[r].asof)
    /\ writing' = [writing EXCEPT ![r].parts = 2]
    /\ UNCHANGED <<ledger, kept, from, announced>>

(* The announcement may land late. *)
Announce(r) ==
    /\ writing[r].parts > 0
    /\ WholeRule => writing[r].parts = 2
    /\ NewerRule => writing[r].asof > announced.asof
    /\ OrderRule => writing[r].first > announced.first
    /\ announced' = [asof |-> writing[r].asof, first |-> writing[r].first]
    /\ writing' = [writing EXCEPT ![r] = None]
    /\ UNCHANGED <<ledger, kept, stream, from>>

(* The log lets one more record of either stream go. *)
LetGo ==
    \/ /\ kept <= ledger
       /\ KeepRule => kept <= announced.asof
       /\ kept' = kept + 1
       /\ UNCHANGED <<ledger, stream, from, writing, announced>>
    \/ /\ from <= Length
       /\ KeepRule => from < announced.first
       /\ from' = from + 1
       /\ UNCHANGED <<ledger, kept, stream, writing, announced>>

Next ==
    \/ Grow
    \/ \E r \in Routers : \E v \in 1..ledger : Begin(r, v)
    \/ \E r \in Routers : Finish(r)
    \/ \E r \in Routers : Announce(r)
    \/ LetGo

Kept == {i \in 1..Length : i >= from}
Whole(v) == \E i \in Kept : \E j \in Kept : i < j /\ stream[i] = v /\ stream[j] = v

InvRestorable == kept = 1 \/ \E v \in 1..Records : Whole(v) /\ kept <= v + 1
=============================================================================
