#!/bin/bash
# Every flag of --help stands in the man page, and every flag of the page in --help;
# the pages are correct scdoc.
set -u
build=$1
passed=0
failed=0
for page in mimosastaird.8 mimosastaird-entry.8 mimosastair.1; do
  program=${page%.*}
  help=$("$build/src/${program%-entry}" $([ "$program" = mimosastaird-entry ] && echo entry) --help | grep -oE '^  --[a-z-]+' | tr -d ' ' | sort -u)
  man=$(grep -oE '^\*--[a-z-]+\*' "docs/man/$page.scd" | tr -d '*' | sort -u)
  if [ "$help" = "$man" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    diff <(echo "$help") <(echo "$man")
  fi
done
for page in docs/man/*.scd; do
  if scdoc <"$page" >/dev/null; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
