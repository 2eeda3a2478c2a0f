#!/bin/bash
# Checks that --help and the man page of each program list the same flags, and that every man page
# is valid scdoc.
set -u
build=$1
passed=0
failed=0
for page in mimosastaird.8 mimosastaird-entry.8 mimosastair.1; do
  program=${page%.*}
  help_flags=$("$build/src/${program%-entry}" $([ "$program" = mimosastaird-entry ] && echo entry) --help | grep -oE '^  --[a-z-]+' | tr -d ' ' | sort -u)
  man_flags=$(grep -oE '^\*--[a-z-]+\*' "docs/man/$page.scd" | tr -d '*' | sort -u)
  if [ "$help_flags" = "$man_flags" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    diff <(echo "$help_flags") <(echo "$man_flags")
  fi
done
for page in docs/man/*.scd; do
  if scdoc <"$page" >/dev/null; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
