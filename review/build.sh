#!/bin/sh
# The stand-ins of this review are Python scripts, which need no build and only the standard library.
exec python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 9))'
