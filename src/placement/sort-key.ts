/** Comparison of sort keys that consist of several criteria, the most important first. */

/** Whether the first key comes before the second; `left` must not be longer than `right`. */
export function isLexicographicallyLess(
  left: readonly number[],
  right: readonly number[],
): boolean {
  for (let index = 0; index < left.length; index++) {
    const leftValue = left[index] ?? 0;
    const rightValue = right[index] ?? 0;
    if (leftValue !== rightValue) return leftValue < rightValue;
  }
  return false;
}
