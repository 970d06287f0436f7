"""Passes documents and the member list on between instances over their own streams.

Only a few entries of each zone, the *watchers*, read the platform; what they learn is announced on
every stream and fetched by whoever lacks it.  ``topology`` says who watches and who dials whom,
``streams`` keeps the streams between entries, and a ``Session`` runs on each connection, those
between entries and agents included.

On a session each side says which names it wants, announces the ranks it holds of them and asks for
the contents it lacks.  A content thus crosses to each instance once, however many streams announce
it.  Digests sent now and then find what a lost message left different.
"""
