//! Conversion of byte offsets to line and column.

use crate::Position;

pub(crate) fn from_offset(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |line_feed| line_feed + 1);
    Position {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}

/// Bytes between two known positions, which bounds the text that is read for one lookup.
const CHECKPOINT_BYTES: usize = 4096;

/// Positions in a text that is looked up often.
#[derive(Debug)]
pub(crate) struct PositionIndex {
    /// Offsets and their positions, in ascending order; the first is the start.
    checkpoints: Vec<(usize, Position)>,
}

impl PositionIndex {
    pub(crate) fn new(text: &str) -> Self {
        let mut position = Position { line: 1, column: 1 };
        let mut checkpoints = vec![(0, position)];
        let mut next_checkpoint = CHECKPOINT_BYTES;
        for (offset, c) in text.char_indices() {
            if offset >= next_checkpoint {
                checkpoints.push((offset, position));
                next_checkpoint = offset + CHECKPOINT_BYTES;
            }
            position = advance(position, c);
        }
        PositionIndex { checkpoints }
    }

    /// Returns the position of `offset` in the text that the index was made for.
    pub(crate) fn position(&self, text: &str, offset: usize) -> Position {
        let after = self.checkpoints.partition_point(|(known, _)| *known <= offset);
        let (known, position) = self.checkpoints[after.saturating_sub(1)];
        text.get(known..offset).unwrap_or_default().chars().fold(position, advance)
    }
}

fn advance(position: Position, c: char) -> Position {
    match c {
        '\n' => Position { line: position.line + 1, column: 1 },
        _ => Position { column: position.column + 1, ..position },
    }
}
