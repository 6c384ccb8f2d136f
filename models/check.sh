#!/usr/bin/env bash
# Checks all models/*.pml with SPIN. The unmodified model must pass an exhaustive search, and each mutant must fail with
# a counterexample. A model lists its mutants in a line "// mutants: A B". It may set options of the verifier in a line
# "// pan: ..." and of the C compiler in a line "// cc: ...".
# Prints one line per run. Exits with 1 if any result differs from the expected one.
set -euo pipefail
cd "$(dirname "$0")"

readonly limit_s=115      # time limit of one run; the target for all runs together is 2 minutes
readonly memory_mb=1900   # memory limit of one run
readonly depth=2000000
readonly jobs=${MODEL_JOBS:-4}

check_one() { # model, mutant or "-"
    local model=$1 mutant=$2 folder defines=() options flags out result started=$SECONDS
    folder=$(mktemp -d)
    trap 'rm -rf "$folder"' RETURN
    [ "$mutant" = - ] || defines=("-D$mutant")
    options=$(sed -n 's|^// pan: *||p' "$model")
    flags=$(sed -n 's|^// cc: *||p' "$model")
    # shellcheck disable=SC2086 # split into words
    if ! (cd "$folder" && spin "${defines[@]}" -a "$OLDPWD/$model" &&
        gcc -O2 -w -DMEMLIM=$memory_mb -DCOLLAPSE -DNOFAIR $flags -o pan pan.c) >"$folder/build.log" 2>&1; then
        cat "$folder/build.log"
        echo "FAIL  $model $mutant: cannot be built"
        return 1
    fi
    # shellcheck disable=SC2086 # split into words
    out=$(cd "$folder" && timeout $limit_s ./pan -m$depth $options 2>&1) || true
    if grep -q 'errors: 0' <<<"$out" && ! grep -qE 'too small|out of memory|truncated|aborted' <<<"$out"; then
        result=passes
    elif grep -qE 'errors: [1-9]' <<<"$out"; then
        result=fails
    else
        result="is not finished"
    fi
    local states
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$out")
    local wanted=fails
    [ "$mutant" = - ] && wanted=passes
    if [ "$result" = "$wanted" ]; then
        echo "ok    $model $mutant: $result (${states:-?} states, $((SECONDS - started)) s)"
    else
        grep -E 'assertion|invalid|pan:|error' <<<"$out" | head -5
        echo "FAIL  $model $mutant: $result but must be: $wanted (${states:-?} states, $((SECONDS - started)) s)"
        return 1
    fi
}
export -f check_one
export limit_s memory_mb depth

for model in *.pml; do
    for mutant in - $(sed -n 's|^// mutants: *||p' "$model"); do
        printf '%s\0%s\0' "$model" "$mutant"
    done
done | xargs -0 -n 2 -P "$jobs" bash -c 'check_one "$0" "$1"' || exit 1
