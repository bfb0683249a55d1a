//! Reports and orders over one connection.

use super::format::*;
use conn::{Error, Line};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest report in bytes.
const MOST_REPORT: usize = 1_000_000;

/// Connection to one incarnation of an engine.
///
/// A report and the orders that follow from it go over the same connection,
/// which dies with the engine's process: an order can never reach a later
/// incarnation than the one whose report it rests on, even at an engine that
/// checks nothing.
pub struct Orders {
    addr: SocketAddr,
    line: Line,
    limit: Duration,
}

impl Orders {
    /// Opens a connection; each exchange over it may take `limit`.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Orders, Error> {
        Ok(Orders {
            addr,
            line: Line::open(addr, limit).await?,
            limit,
        })
    }

    /// Reads the engine's report.
    pub async fn report(&mut self) -> Result<Report, Error> {
        let request = conn::json_request::<()>(self.addr, REPORT_PATH, None)?;
        let reply = self.line.exchange(request, self.limit, MOST_REPORT).await?;
        conn::read_json(self.addr, &reply)
    }

    /// Sends an order.
    pub async fn order(&mut self, order: &Order) -> Result<OrderStatus, Error> {
        let request = conn::json_request(self.addr, ORDER_PATH, Some(order))?;
        let reply = self.line.exchange(request, self.limit, MOST_REPORT).await?;
        conn::read_json(self.addr, &reply)
    }

    /// Reads cache events past a number.
    pub async fn cache(&mut self, after: u64) -> Result<Vec<Cached>, Error> {
        let path = format!("{CACHE_PATH}?after={after}");
        let request = conn::json_request::<()>(self.addr, &path, None)?;
        let reply = self.line.exchange(request, self.limit, MOST_REPORT).await?;
        conn::read_json(self.addr, &reply)
    }
}
