//! Least-squares fit of a straight line.

/// Line through measured points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    /// Value at zero.
    pub(crate) base: f64,
    /// Change of the value per unit.
    pub(crate) slope: f64,
    /// Share of the variance that the line explains; 1 if all points are on it.
    pub(crate) r_squared: f64,
}

/// Fits a line through points (size, value) of which at least two differ in size.
pub(crate) fn line(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let (mut xx, mut xy, mut yy) = (0.0, 0.0, 0.0);
    for (x, y) in points {
        xx += (x - mean_x).powi(2);
        xy += (x - mean_x) * (y - mean_y);
        yy += (y - mean_y).powi(2);
    }
    let slope = xy / xx;
    let residual = yy - slope * xy;
    Fit {
        base: mean_y - slope * mean_x,
        slope,
        r_squared: if yy > 0.0 { 1.0 - residual / yy } else { 1.0 },
    }
}
