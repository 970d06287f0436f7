"""Adapter of the Rung Lab platform: decodes its names, formats and calls into the product's types.

It decides nothing.  ``settings`` reads the file that the platform writes for each process,
``store`` reads and watches its store, ``records`` decodes what is stored, ``headers`` translates
the HTTP headers of requests and answers, and ``engine`` and ``origin`` call model engines and the
origin of weights.
"""
