//! Simple linear regression by ordinary least squares.

/// Fitted line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    /// Value of the line at size zero.
    pub(crate) intercept: f64,
    /// Change of the value per unit of size.
    pub(crate) slope: f64,
    /// Coefficient of determination: the share of the variance that the line explains.
    /// It is 1 if all points are on the line.
    pub(crate) r_squared: f64,
}

/// Fits a line to points (size, value); at least two have to differ in size.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> Fit {
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
        intercept: mean_y - slope * mean_x,
        slope,
        r_squared: if yy > 0.0 { 1.0 - residual / yy } else { 1.0 },
    }
}
