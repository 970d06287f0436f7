"""Distributes documents and the member list between instances over their own streams.

Only a few entries of each zone, the *watchers*, read the platform.  What they read is announced on
every stream, and each instance that lacks it fetches it.  ``topology`` chooses the watchers and
which entries dial which, ``streams`` maintains the streams between entries, and a ``Session`` runs
on each connection, including those between entries and agents.

On a session each side sends the names it wants, announces the ranks it holds of them and asks for
the contents it lacks.  So each content is sent to an instance once, however many streams announce
it.  Periodic digests detect differences that a lost message left.
"""
