"""Starts a Python program from an image of its modules.

Half of a program's start is spent on finding and reading its modules, one file at a
time. The image holds the compiled modules in one file, without docstrings. It imports
nothing that the interpreter has not loaded by itself.
"""
