#!/usr/bin/env bash
# The stand-ins of review/common need nothing but the standard library of Python 3.11.
cd "$(dirname "$0")" || exit 1
python3 -m compileall -q common
