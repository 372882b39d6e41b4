//! Sets of numbers that are stored as ranges.

/// Set of numbers as sorted, disjoint half-open ranges.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranges {
    ranges: Vec<(u32, u32)>,
    /// Number of members.
    count: u32,
}

impl Ranges {
    /// Adds a number; returns whether it was missing.
    pub(super) fn insert(&mut self, number: u32) -> bool {
        let at = self.ranges.partition_point(|&(_, end)| end < number);
        let next = self.ranges.get(at).copied();
        match next {
            Some((start, end)) if start <= number && number < end => return false,
            Some((start, end)) if end == number => {
                let joins = self.ranges.get(at + 1).filter(|next| next.0 == number + 1);
                if let Some(&(_, joined_end)) = joins {
                    self.ranges[at] = (start, joined_end);
                    self.ranges.remove(at + 1);
                } else {
                    self.ranges[at].1 = number + 1;
                }
            }
            Some((start, _)) if start == number + 1 => self.ranges[at].0 = number,
            _ => self.ranges.insert(at, (number, number + 1)),
        }
        self.count += 1;
        true
    }

    /// Whether a number is in the set.
    pub(super) fn contains(&self, number: u32) -> bool {
        self.first_missing(number) != number
    }

    /// Smallest number that is not in the set, from the given one.
    pub(super) fn first_missing(&self, from: u32) -> u32 {
        let at = self.ranges.partition_point(|&(_, end)| end <= from);
        match self.ranges.get(at) {
            Some(&(start, end)) if start <= from => end,
            _ => from,
        }
    }

    /// Smallest member from the given number.
    pub(super) fn first_present(&self, from: u32) -> Option<u32> {
        let at = self.ranges.partition_point(|&(_, end)| end <= from);
        self.ranges.get(at).map(|&(start, _)| start.max(from))
    }

    /// Number of members.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Sorted, disjoint half-open ranges.
    pub(super) fn as_slice(&self) -> &[(u32, u32)] {
        &self.ranges
    }
}
