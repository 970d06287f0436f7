"""Adapters of the Rung Lab platform: translate its names, formats and calls to the product's types.

They make no decisions.  ``settings`` reads the file that the platform writes for each process,
``store`` reads and watches its store, ``records`` decodes the stored records, ``headers``
translates the HTTP headers of requests and answers, and ``engine`` and ``origin`` call model
engines and the origin of weights.
"""
